#define BOOST_TEST_MODULE FailoverDuty
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeDatabases.h"

#include <LibPooler/FailoverDuty.h>

using namespace std::chrono_literals;
using Authority::MakeStoreVersion;
using Authority::WriteOutcome;
using Authority::WriteResult;

namespace {

constexpr Authority::AuthorityLease kLease{ 7500ms, 1200ms };
constexpr Core::Duration kDutyLease = 1600ms;

/** A duty without peers; the store accepts all writes. */
class Fixture
  : public Authority::CoordinationStore
  , public Pooler::PeerLink
  , public Pooler::Promoter
{
public:
  Fixture()
    : databases(time)
    , membership(time, *this, *this, Self(), kLease.fenced, IgnoreLog())
    , duty(
        time,
        DutySettings(),
        databases,
        *this,
        *this,
        *this,
        membership,
        [](const Authority::GroupRecord&, Core::Instant) {},
        IgnoreLog())
  {
  }
  ~Fixture() override { time.Close(); }

  static Pooler::Member Self()
  {
    Pooler::Member self;
    self.name = "me";
    self.incarnation = "1";
    return self;
  }
  static Pooler::Member Other()
  {
    Pooler::Member other = Self();
    other.name = "other";
    other.addresses = { { "127.0.0.1", 1 },
                        { "127.0.0.1", 2 },
                        { "127.0.0.1", 3 } };
    return other;
  }
  static Pooler::FailoverDuty::Settings DutySettings()
  {
    Pooler::FailoverDuty::Settings settings;
    settings.lease = { kDutyLease, 200ms, 500ms };
    settings.supervisor.authorityLease = kLease;
    settings.supervisor.clockMargin = 200ms;
    return settings;
  }
  static Pooler::LogSink IgnoreLog()
  {
    return [](std::string_view, const boost::json::object&) {};
  }

  /** The duty as the supervisors of the groups see it. */
  Authority::SupervisorPort& Port() { return duty; }
  void AdvanceBy(Core::Duration aTime)
  {
    const Core::Instant end = time.Now() + aTime;
    while (time.Now() < end) {
      time.RunUntil(time.Now() + 50ms);
      duty.Tick();
    }
  }

  void Write(const Authority::StoredRow&,
             std::function<void(WriteOutcome)> aDone) override
  {
    time.DeferFor(2ms, [aDone] { aDone({ WriteResult::Applied, 3 }); });
  }
  void Remove(const Authority::StoredRow&,
              std::function<void(WriteOutcome)>) override
  {
  }
  void Read(const std::string&,
            std::function<void(std::optional<Authority::StoredRow>)>) override
  {
    // No lease is ever returned, so this node never acquires the duty.
  }
  void SendHeartbeat(const Pooler::Member&,
                     const Pooler::Heartbeat&,
                     std::function<void(Pooler::HeartbeatResponse)>) override
  {
  }
  void SendRecords(const Pooler::Member& aMember,
                   const std::vector<Authority::GroupRecord>&,
                   std::function<void(Pooler::PeerDelivery)> aDone) override
  {
    recipients.insert(aMember.Key());
    ++messages;
    time.DeferFor(2ms, [this, aDone] { aDone(delivery); });
  }
  void FetchRecords(
    const Pooler::Member&,
    const std::string&,
    std::function<void(std::vector<Pooler::RelayedRecord>)>) override
  {
  }
  void RequestShares(
    const Pooler::Member&,
    const Quota::ShareRequest&,
    std::function<void(std::optional<Quota::ShareResponse>)>) override
  {
  }
  void Promote(const Call&,
               std::function<void(Authority::PromoteResult)>) override
  {
  }

  Simulation::VirtualTime time;
  Fakes::FakeDatabases databases;
  Pooler::Membership membership;
  Pooler::FailoverDuty duty;
  /** The members that were sent a record. */
  std::set<std::string> recipients;
  int messages = 0;
  Pooler::PeerDelivery delivery = Pooler::PeerDelivery::Answered;
};

/** Another database that is listed at the address of the primary. */
struct SharedAddressCase
{
  const char* name;
  std::string group;
  std::uint16_t port;
  std::int64_t startedAt;
  bool hasPrimaryEnded;
};

std::ostream&
operator<<(std::ostream& aStream, const SharedAddressCase& aCase)
{
  return aStream << aCase.name;
}

const SharedAddressCase kSharedAddresses[] = {
  { "a later one at the same address", "g", 9, 200, true },
  { "a later one of another group", "h", 9, 200, true },
  { "a later one of an unknown group", "odd", 9, 200, false },
  { "an earlier one at the same address", "g", 9, 50, false },
  { "a later one at another address", "g", 10, 200, false },
};

/** When a member's row was read last, and when a change begins. */
struct ForgottenMemberCase
{
  const char* name;
  /** The store's version when the member was listed. */
  std::uint64_t listedAt;
  /** The time from the restored snapshot to the change. */
  Core::Duration after;
  bool isAsked;
};

std::ostream&
operator<<(std::ostream& aStream, const ForgottenMemberCase& aCase)
{
  return aStream << aCase.name;
}

const ForgottenMemberCase kForgottenMembers[] = {
  { "removed without a restoration", MakeStoreVersion(2, 10), 0ms, false },
  { "forgotten by a restored store", MakeStoreVersion(1, 50), 0ms, true },
  { "forgotten, its authority may last",
    MakeStoreVersion(1, 50),
    9200ms,
    true },
  { "forgotten, its authority has ended",
    MakeStoreVersion(1, 50),
    9400ms,
    false },
};

/** What a process reads first, and when it begins a change of primary. */
struct LaterStartCase
{
  const char* name;
  /** The version of the row that the group's record replaced. */
  std::uint64_t basis;
  /** The time from the first snapshot to the change. */
  Core::Duration after;
  /** The time from the change until all members count as having confirmed. */
  Core::Duration confirmedAfter;
};

std::ostream&
operator<<(std::ostream& aStream, const LaterStartCase& aCase)
{
  return aStream << aCase.name;
}

const LaterStartCase kLaterStarts[] = {
  { "no restoration before the start", MakeStoreVersion(2, 14), 0ms, 0ms },
  { "a restoration before the start", MakeStoreVersion(1, 14), 0ms, 9300ms },
  { "a restoration before the start, later",
    MakeStoreVersion(1, 14),
    6300ms,
    3000ms },
  { "a restoration long before", MakeStoreVersion(1, 14), 9400ms, 0ms },
};

} // namespace

/**
 * Guards against two nodes that act at once. A supervisor whose write was
 * answered after the duty had passed on would demote the primary of the next
 * holder's change.
 */
BOOST_FIXTURE_TEST_CASE(WithoutTheDutyNoDatabaseIsSteppedDown, Fixture)
{
  databases.Add("p", true);
  Pooler::DatabaseList list;
  list["p"].id = "p";
  list["p"].group = "g";
  duty.SetDatabases(list);
  std::optional<Authority::ProbeOutcome> outcome;
  Port().StepDown(
    "p", 2, 500ms, [&](const auto& aOutcome) { outcome = aOutcome; });
  BOOST_TEST(!outcome.has_value());
  AdvanceBy(1s);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(!outcome->status.has_value());
  BOOST_TEST(!databases.At("p").HasRun("step down"));
}

/**
 * A database that is cut off from the platform's list may go on receiving
 * commits. It must be found at its last address, but not be used.
 */
BOOST_FIXTURE_TEST_CASE(AnUnlistedDatabaseIsAskedAtItsLastAddress, Fixture)
{
  databases.Add("b", false);
  Pooler::DatabaseList list;
  list["b"].id = "b";
  list["b"].group = "g";
  duty.SetDatabases(list);
  duty.SetDatabases({});
  std::map<std::string, Authority::ProbeOutcome> unlisted;
  for (const std::string id : { "b", "unknown" })
    Port().ProbeUnlisted(id, 500ms, [&unlisted, id](const auto& aOutcome) {
      unlisted[id] = aOutcome;
    });
  std::optional<Authority::ProbeOutcome> listed;
  Port().Probe("b", 500ms, [&](const auto& aOutcome) { listed = aOutcome; });
  AdvanceBy(1s);
  BOOST_REQUIRE(unlisted.size() == 2);
  BOOST_TEST(unlisted.at("b").status.has_value());
  BOOST_TEST(!unlisted.at("unknown").status.has_value());
  BOOST_REQUIRE(listed.has_value());
  BOOST_TEST(!listed->status.has_value());
}

/**
 * Guards against a working primary that is replaced without a fence because of
 * an entry with its address. A restored store lists databases that ended
 * before, possibly at addresses that others use by now; an entry of an unknown
 * group is no database's.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       OnlyALaterDatabaseAtItsAddressShowsThatOneHasEnded,
                       boost::unit_test::data::make(kSharedAddresses))
{
  Pooler::DatabaseList list;
  list["primary"] = { .id = "primary",
                      .group = "g",
                      .host = "127.0.0.1",
                      .port = 9,
                      .dataCentre = "dc",
                      .startedAt = 100 };
  list["other"] = list["primary"];
  list["other"].id = "other";
  list["other"].group = sample.group;
  list["other"].port = sample.port;
  list["other"].startedAt = sample.startedAt;
  duty.SetGroups({ { "g", {} }, { "h", {} } });
  duty.SetDatabases(list);
  BOOST_TEST(Port().HasEnded("primary") == sample.hasPrimaryEnded);
}

/**
 * A restored store lacks members that have registered since the copy was made.
 * They may use the old primary although all listed members have confirmed that
 * they gave it up.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       MembersThatTheStoreHasForgottenConfirmAChange,
                       boost::unit_test::data::make(kForgottenMembers))
{
  membership.Apply(Pooler::MemberRoster::RowOf(Other()));
  duty.OnRowsApplied(sample.listedAt);
  duty.OnSnapshotBegins(MakeStoreVersion(2, 20));
  membership.BeginReload();
  duty.OnRowsApplied(MakeStoreVersion(2, 20));
  AdvanceBy(sample.after);
  Authority::GroupRecord record;
  record.group = "g";
  record.version = MakeStoreVersion(2, 15);
  bool isConfirmed = false;
  Port().RevokeEverywhere(record, [&] { isConfirmed = true; });
  BOOST_TEST(isConfirmed != sample.isAsked);
  AdvanceBy(100ms);
  BOOST_TEST(isConfirmed);
  BOOST_TEST(recipients.contains("other#1") == sample.isAsked);
}

/**
 * A record is announced to members that can't reach the store. One that is gone
 * for good must not keep its holder busy for as long as that runs.
 */
BOOST_FIXTURE_TEST_CASE(AnAnnouncementToASilentMemberEnds, Fixture)
{
  membership.Apply(Pooler::MemberRoster::RowOf(Other()));
  delivery = Pooler::PeerDelivery::Silent;
  Authority::GroupRecord record;
  record.group = "g";
  Port().WriteRecord(record, [](const WriteOutcome&) {});
  AdvanceBy(1s);
  BOOST_TEST(messages > 1);
  AdvanceBy(kLease.fenced);
  const int before = messages;
  AdvanceBy(5s);
  BOOST_TEST(messages == before);
}

/**
 * Members that the store forgot twice in quick succession may hold authority as
 * well, although the latest list never had them.
 */
BOOST_FIXTURE_TEST_CASE(MembersForgottenTwiceConfirmAChange, Fixture)
{
  membership.Apply(Pooler::MemberRoster::RowOf(Other()));
  duty.OnRowsApplied(MakeStoreVersion(1, 50));
  for (const std::uint64_t era : { 2U, 3U }) {
    duty.OnSnapshotBegins(MakeStoreVersion(era, 20));
    membership.BeginReload();
    duty.OnRowsApplied(MakeStoreVersion(era, 20));
    AdvanceBy(1s);
  }
  Authority::GroupRecord record;
  record.group = "g";
  record.version = MakeStoreVersion(3, 15);
  Port().RevokeEverywhere(record, [] {});
  BOOST_TEST(recipients.contains("other#1"));
}

/**
 * A process that starts after the restoration doesn't know the members that the
 * store has forgotten, which may use the old primary for as long as their
 * authority lasts.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AProcessThatStartsLaterWaitsForForgottenMembers,
                       boost::unit_test::data::make(kLaterStarts))
{
  Authority::GroupRecord record;
  record.group = "g";
  record.version = MakeStoreVersion(2, 15);
  record.basis = sample.basis;
  duty.OnSnapshotBegins(MakeStoreVersion(2, 20));
  duty.SetRecord(record);
  duty.OnRowsApplied(MakeStoreVersion(2, 20));
  AdvanceBy(sample.after);
  record.basis = record.version;
  record.version = MakeStoreVersion(2, 16);
  std::optional<Core::Instant> confirmedAt;
  const Core::Instant begin = time.Now();
  Port().RevokeEverywhere(record, [&] { confirmedAt = time.Now(); });
  AdvanceBy(10s);
  BOOST_REQUIRE(confirmedAt.has_value());
  BOOST_CHECK(*confirmedAt - begin >= sample.confirmedAfter);
  BOOST_CHECK(*confirmedAt - begin <= sample.confirmedAfter + 100ms);
}
