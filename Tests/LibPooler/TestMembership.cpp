#define BOOST_TEST_MODULE Membership
#include "MembershipFixture.h"

#include <LibPooler/RecordBroadcast.h>
#include <LibPooler/RelayTable.h>

#include <boost/test/unit_test.hpp>

using namespace Fakes;

BOOST_FIXTURE_TEST_SUITE(Members, MembershipFixture)

BOOST_AUTO_TEST_CASE(ASilentMemberIsExpelledAndRemovedOneLeaseLater)
{
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Silent;
  ApplyRows();
  AdvanceBy(4500ms);
  ApplyRows();
  BOOST_REQUIRE(membership.Roster().Find("other#1") != nullptr);
  BOOST_TEST(membership.Roster().Find("other#1")->isExpelled);
  // It may hold authority until its lease expires.
  BOOST_TEST(membership.Others().size() == 1U);
  AdvanceBy(kLease - 500ms);
  ApplyRows();
  BOOST_TEST(membership.Others().size() == 1U);
  AdvanceBy(2s);
  ApplyRows();
  BOOST_TEST(membership.Others().empty());
}

/**
 * Guards against a change of primary that doesn't ask a member which may still
 * use the old one. A member that reaches the store but not the holder registers
 * again after each expulsion, and gets authority again each time. Its row must
 * stay for a lease after the latest expulsion, not after the first.
 */
BOOST_AUTO_TEST_CASE(AMemberExpelledAgainIsRemovedALeaseAfterTheLastExpulsion)
{
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Silent;
  for (int round = 0; round < 4; ++round) {
    ApplyRows();
    AdvanceBy(4500ms);
    ApplyRows();
    BOOST_REQUIRE(membership.Roster().Find("other#1") != nullptr);
    BOOST_TEST(membership.Roster().Find("other#1")->isExpelled);
    AdvanceBy(500ms);
    BOOST_TEST(
      rows.contains(Pooler::MemberRoster::RowOf(MakeMember("other")).key));
    AddMember(MakeMember("other"));
  }
}

/**
 * Guards against a member that comes back after a long silence, and is expelled
 * at once again, before it has been asked.
 */
BOOST_AUTO_TEST_CASE(AMemberThatRegistersAgainIsAskedBeforeItIsExpelled)
{
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Silent;
  ApplyRows();
  AdvanceBy(4500ms);
  ApplyRows();
  BOOST_REQUIRE(membership.Roster().Find("other#1")->isExpelled);
  AdvanceBy(6s);
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Answered;
  ApplyRows();
  AdvanceBy(2s);
  ApplyRows();
  BOOST_TEST(!membership.Roster().Find("other#1")->isExpelled);
  // If it is silent again, it is expelled as at first.
  deliveries["other#1"] = PeerDelivery::Silent;
  AdvanceBy(4500ms);
  ApplyRows();
  BOOST_TEST(membership.Roster().Find("other#1")->isExpelled);
}

BOOST_AUTO_TEST_CASE(AMemberReplacedByAnotherProcessIsRemovedAtOnce)
{
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Ended;
  ApplyRows();
  AdvanceBy(500ms);
  ApplyRows();
  BOOST_TEST(membership.Others().empty());
}

/**
 * After all nodes were killed and restarted, no node holds the failover duty
 * yet, so rows of earlier processes are still in the store.
 */
BOOST_AUTO_TEST_CASE(OnlyTheNewestProcessOfAVMIsPresent)
{
  holdsDuty = false;
  AddMember(MakeMember("me", "9"));
  AddMember(MakeMember("other", "7"));
  membership.Register([] {});
  AdvanceBy(10ms);
  AddMember(MakeMember("other", "2"));
  ApplyRows();
  std::vector<std::string> present;
  for (const Member& member : membership.Roster().Present())
    present.push_back(member.Key());
  const std::vector<std::string> expected{ "me#1", "other#2" };
  BOOST_TEST(present == expected, boost::test_tools::per_element());
  // Other processes may still run until their rows are removed.
  BOOST_TEST(membership.Others().size() == 3U);
}

BOOST_AUTO_TEST_CASE(ANewLeasePeriodIgnoresEarlierSilence)
{
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Answered;
  ApplyRows();
  AdvanceBy(1s);
  holdsDuty = false;
  AdvanceBy(20s);
  holdsDuty = true;
  membership.ResetContacts();
  AdvanceBy(1s);
  ApplyRows();
  BOOST_TEST(!membership.Roster().Find("other#1")->isExpelled);
}

BOOST_AUTO_TEST_CASE(AHeartbeatEchoesTheMembersClock)
{
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Answered;
  ApplyRows();
  AdvanceBy(350ms);
  BOOST_TEST(!lastHeartbeat.echo.has_value());
  AdvanceBy(300ms);
  BOOST_REQUIRE(lastHeartbeat.echo.has_value());
  BOOST_CHECK(*lastHeartbeat.echo == Core::Instant(5s));
  BOOST_TEST(*lastHeartbeat.newestRecord == 7U);
  BOOST_TEST(*lastHeartbeat.recordsDigest == 11U);
  BOOST_TEST(lastHeartbeat.receiver == "other#1");
}

/**
 * The holder of the failover duty may be a small VM. Heartbeats to all members
 * of a large fleet at the same moment would delay everything else it does.
 */
BOOST_AUTO_TEST_CASE(HeartbeatsToALargeFleetAreSpreadOverTheInterval)
{
  constexpr int kOthers = 300;
  constexpr int kTicksAnInterval = 6;
  for (int i = 0; i < kOthers; ++i) {
    AddMember(MakeMember("m" + std::to_string(i)));
    deliveries["m" + std::to_string(i) + "#1"] = PeerDelivery::Answered;
  }
  ApplyRows();
  AdvanceBy(600ms);
  for (int i = 0; i < 20; ++i) {
    heartbeats = 0;
    AdvanceBy(50ms);
    BOOST_TEST(heartbeats <= 2 * kOthers / kTicksAnInterval);
  }
  heartbeats = 0;
  AdvanceBy(3s);
  BOOST_TEST(heartbeats >= 9 * kOthers);
  BOOST_TEST(heartbeats <= 11 * kOthers);
}

BOOST_AUTO_TEST_CASE(ReportsAreCountedForEachGroup)
{
  for (const char* name : { "a", "b", "c" })
    AddMember(MakeMember(name));
  deliveries["a#1"] = PeerDelivery::Answered;
  deliveries["b#1"] = PeerDelivery::Answered;
  deliveries["c#1"] = PeerDelivery::Silent;
  ApplyRows();
  AdvanceBy(2s);
  const auto reports = membership.ReportsOn("g");
  BOOST_TEST(reports.reaching == 2);
  BOOST_TEST(reports.unknown == 1);
  BOOST_TEST(membership.ReportsOn("other").notReaching == 2);
}

BOOST_AUTO_TEST_CASE(AfterAResignationThereIsNoActiveHolder)
{
  membership.OnHeartbeat({ "other#1", "me#1", std::nullopt, 1, false });
  BOOST_TEST(membership.HasActiveHolder());
  membership.OnHeartbeat({ "other#1", "me#1", std::nullopt, 1, true });
  BOOST_TEST(!membership.HasActiveHolder());
}

BOOST_AUTO_TEST_CASE(ARecordIsSentUntilAllMembersHaveItOrHaveEnded)
{
  deliveries["a#1"] = PeerDelivery::Answered;
  deliveries["b#1"] = PeerDelivery::Silent;
  deliveries["c#1"] = PeerDelivery::Ended;
  bool isDone = false;
  Pooler::RecordOutbox outbox(time, *this);
  Pooler::RecordBroadcast broadcast(
    outbox, { MakeMember("a"), MakeMember("b"), MakeMember("c") }, {}, [&] {
      isDone = true;
    });
  broadcast.Start();
  AdvanceBy(1s);
  BOOST_TEST(!isDone);
  BOOST_TEST(broadcast.PendingCount() == 1U);
  deliveries["b#1"] = PeerDelivery::Answered;
  AdvanceBy(200ms);
  BOOST_TEST(isDone);
}

BOOST_AUTO_TEST_CASE(AnUnreachableDatabaseIsDialledThroughARelay)
{
  Pooler::RelayTable relayTable(time);
  const Wire::Address first{ "127.0.0.1", 11 };
  const Wire::Address second{ "127.0.0.1", 12 };
  relayTable.SetRelays({ first, second });
  BOOST_TEST(!relayTable.RelayFor("db").has_value());
  relayTable.OnDialled("db", std::nullopt, false);
  const auto relay = relayTable.RelayFor("db");
  BOOST_REQUIRE(relay.has_value());
  BOOST_TEST(!relayTable.RelayFor("another").has_value());
  // After a failure of one relay the next one is used.
  relayTable.OnDialled("db", relay, false);
  BOOST_CHECK(relayTable.RelayFor("db") != relay);
  relayTable.OnDialled("db", relayTable.RelayFor("db"), true);
  // The direct connection is tried again periodically.
  AdvanceBy(2100ms);
  BOOST_TEST(!relayTable.RelayFor("db").has_value());
}

BOOST_AUTO_TEST_CASE(WithoutAWorkingRelayADatabaseIsDialledDirectly)
{
  Pooler::RelayTable relayTable(time);
  relayTable.SetRelays({ { "127.0.0.1", 11 }, { "127.0.0.1", 12 } });
  relayTable.OnDialled("db", std::nullopt, false);
  for (int attempt = 0; attempt < 3; ++attempt)
    relayTable.OnDialled("db", relayTable.RelayFor("db"), false);
  BOOST_TEST(!relayTable.RelayFor("db").has_value());
}

/**
 * Guards against a proof that grows younger on the way: its age is that at the
 * time of sending, since the echo in the heartbeat may be as new as that.
 */
BOOST_AUTO_TEST_CASE(HeartbeatsStateTheAgeOfTheProofWhenTheyAreSent)
{
  AddMember(MakeMember("other"));
  deliveries["other#1"] = PeerDelivery::Answered;
  ApplyRows();
  AdvanceBy(1s);
  BOOST_TEST(!lastHeartbeat.configuration.has_value());
  const Core::Instant provenAt = time.Now();
  membership.SetProvenConfiguration(6, provenAt);
  AdvanceBy(2s);
  BOOST_REQUIRE(lastHeartbeat.configuration.has_value());
  BOOST_TEST(lastHeartbeat.configuration->version == 6U);
  const Core::Duration age = lastHeartbeat.configuration->age;
  BOOST_CHECK(age <= time.Now() - provenAt);
  BOOST_CHECK(age > 2s - 2 * Pooler::Membership::kHeartbeatInterval);
}

BOOST_AUTO_TEST_SUITE_END()
