#define BOOST_TEST_MODULE Membership
#include <boost/test/unit_test.hpp>

#include "../Simulation/VirtualTime.h"

#include <LibPooler/Membership.h>
#include <LibPooler/RecordBroadcast.h>
#include <LibPooler/RelayTable.h>

using namespace std::chrono_literals;
using Authority::StoredRow;
using Authority::WriteOutcome;
using Authority::WriteResult;
using Pooler::Member;
using Pooler::PeerDelivery;

namespace {

constexpr Core::Duration kLease = 9s;

Member
MemberOf(const std::string& aName, const std::string& aIncarnation = "1")
{
  Member member;
  member.name = aName;
  member.incarnation = aIncarnation;
  member.dataCentre = "dc";
  member.addresses = { { "127.0.0.1", 1 },
                       { "127.0.0.1", 2 },
                       { "127.0.0.1", 3 } };
  return member;
}

/** A store and peers that a test sets as it likes. */
class Fixture
  : public Authority::CoordinationStore
  , public Pooler::PeerLink
{
public:
  Fixture()
    : membership(time, *this, *this, MemberOf("me"), kLease, Sink())
  {
    timer = time.Every(300ms, [this] {
      if (holdsDuty)
        membership.TendOthers(7);
    });
  }
  ~Fixture() override
  {
    timer.reset();
    time.Close();
  }

  static Pooler::LogSink Sink()
  {
    return [](std::string_view, const boost::json::object&) {};
  }
  void Pass(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  /** The follower of the store's table shows all rows. */
  void ShowRows()
  {
    membership.BeginReload();
    for (const auto& [key, row] : rows)
      membership.Apply(row);
    membership.CheckSelf();
  }
  void Join(const Member& aMember)
  {
    StoredRow row = Pooler::MemberRoster::RowOf(aMember);
    row.version = ++version;
    rows[row.key] = row;
  }

  void Write(const StoredRow& aRow,
             std::function<void(WriteOutcome)> aDone) override
  {
    Change(aRow, false, aDone);
  }
  void Remove(const StoredRow& aRow,
              std::function<void(WriteOutcome)> aDone) override
  {
    Change(aRow, true, aDone);
  }
  void Read(const std::string&,
            std::function<void(std::optional<StoredRow>)>) override
  {
  }
  void Change(const StoredRow& aRow,
              bool aIsRemoval,
              const std::function<void(WriteOutcome)>& aDone)
  {
    const auto known = rows.find(aRow.key);
    const std::uint64_t held = known == rows.end() ? 0 : known->second.version;
    WriteOutcome outcome{ WriteResult::Conflict, 0 };
    if (isStoreDown) {
      outcome.result = WriteResult::Refused;
    } else if (held == aRow.version) {
      outcome = { WriteResult::Applied, ++version };
      rows.erase(aRow.key);
      if (!aIsRemoval)
        rows[aRow.key] = { aRow.key, aRow.value, version };
    }
    time.DeferFor(4ms, [aDone, outcome] { aDone(outcome); });
  }

  void SendHeartbeat(
    const Member& aMember,
    const Pooler::Heartbeat& aHeartbeat,
    std::function<void(Pooler::HeartbeatResponse)> aDone) override
  {
    lastHeartbeat = aHeartbeat;
    Pooler::HeartbeatResponse answer;
    answer.delivery = deliveries[aMember.Key()];
    answer.clock = Core::Instant(5s);
    if (answer.delivery == PeerDelivery::Answered)
      answer.reachedGroups = { "g" };
    time.DeferFor(2ms, [aDone, answer] { aDone(answer); });
  }
  void SendRecord(const Member& aMember,
                  const Authority::GroupRecord&,
                  std::function<void(PeerDelivery)> aDone) override
  {
    time.DeferFor(
      2ms, [this, key = aMember.Key(), aDone] { aDone(deliveries[key]); });
  }
  void FetchRecords(
    const Member&,
    const std::string&,
    std::function<void(std::vector<Pooler::RelayedRecord>)>) override
  {
  }

  Simulation::VirtualTime time;
  std::map<std::string, StoredRow> rows;
  std::uint64_t version = 0;
  bool isStoreDown = false;
  bool holdsDuty = true;
  std::map<std::string, PeerDelivery> deliveries;
  Pooler::Heartbeat lastHeartbeat;
  Pooler::Membership membership;
  Core::TimerHandle timer;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Members, Fixture)

BOOST_AUTO_TEST_CASE(OnlyQuestionsAfterTheRegistrationGiveAuthority)
{
  const Core::Instant before = time.Now();
  bool isRegistered = false;
  membership.Register([&] { isRegistered = true; });
  BOOST_TEST(!membership.CoversRequest(time.Now()));
  Pass(10ms);
  BOOST_TEST(isRegistered);
  BOOST_TEST(!membership.CoversRequest(before));
  BOOST_TEST(membership.CoversRequest(time.Now()));
}

BOOST_AUTO_TEST_CASE(RegistersOnceTheStoreIsBack)
{
  isStoreDown = true;
  bool isRegistered = false;
  membership.Register([&] { isRegistered = true; });
  Pass(1s);
  BOOST_TEST(!isRegistered);
  isStoreDown = false;
  Pass(1s);
  BOOST_TEST(isRegistered);
}

BOOST_AUTO_TEST_CASE(AnExpelledProcessLosesItsRightsAndJoinsAnew)
{
  membership.Register([] {});
  Pass(10ms);
  ShowRows();
  Member expelled = MemberOf("me");
  expelled.isExpelled = true;
  Join(expelled);
  ShowRows();
  BOOST_TEST(!membership.CoversRequest(time.Now()));
  Pass(500ms);
  ShowRows();
  BOOST_TEST(membership.CoversRequest(time.Now()));
  BOOST_TEST(!membership.Roster().Find("me#1")->isExpelled);
}

BOOST_AUTO_TEST_CASE(ASilentMemberIsExpelledAndRemovedALeaseLater)
{
  Join(MemberOf("other"));
  deliveries["other#1"] = PeerDelivery::Silent;
  ShowRows();
  Pass(4500ms);
  ShowRows();
  BOOST_REQUIRE(membership.Roster().Find("other#1") != nullptr);
  BOOST_TEST(membership.Roster().Find("other#1")->isExpelled);
  // It may hold authority for as long as a lease lasts.
  BOOST_TEST(membership.Others().size() == 1U);
  Pass(kLease - 500ms);
  ShowRows();
  BOOST_TEST(membership.Others().size() == 1U);
  Pass(2s);
  ShowRows();
  BOOST_TEST(membership.Others().empty());
}

BOOST_AUTO_TEST_CASE(AMemberThatAnotherProcessReplacedIsRemovedAtOnce)
{
  Join(MemberOf("other"));
  deliveries["other#1"] = PeerDelivery::Ended;
  ShowRows();
  Pass(500ms);
  ShowRows();
  BOOST_TEST(membership.Others().empty());
}

/** All nodes have been killed and are back; nobody holds the duty yet. */
BOOST_AUTO_TEST_CASE(OfAVMOnlyItsNewestProcessTakesPart)
{
  holdsDuty = false;
  Join(MemberOf("me", "9"));
  Join(MemberOf("other", "7"));
  membership.Register([] {});
  Pass(10ms);
  Join(MemberOf("other", "2"));
  ShowRows();
  std::vector<std::string> present;
  for (const Member& member : membership.Roster().Present())
    present.push_back(member.Key());
  const std::vector<std::string> expected{ "me#1", "other#2" };
  BOOST_TEST(present == expected, boost::test_tools::per_element());
  // Nobody is certain to have ended until the store says so.
  BOOST_TEST(membership.Others().size() == 3U);
}

BOOST_AUTO_TEST_CASE(ANewTenureBeginsWithoutOldSilence)
{
  Join(MemberOf("other"));
  deliveries["other#1"] = PeerDelivery::Answered;
  ShowRows();
  Pass(1s);
  holdsDuty = false;
  Pass(20s);
  holdsDuty = true;
  membership.ForgetContacts();
  Pass(1s);
  ShowRows();
  BOOST_TEST(!membership.Roster().Find("other#1")->isExpelled);
}

BOOST_AUTO_TEST_CASE(AHeartbeatEchoesTheMembersClock)
{
  Join(MemberOf("other"));
  deliveries["other#1"] = PeerDelivery::Answered;
  ShowRows();
  Pass(350ms);
  BOOST_TEST(!lastHeartbeat.echo.has_value());
  Pass(300ms);
  BOOST_REQUIRE(lastHeartbeat.echo.has_value());
  BOOST_CHECK(*lastHeartbeat.echo == Core::Instant(5s));
  BOOST_TEST(*lastHeartbeat.newestRecord == 7U);
  BOOST_TEST(lastHeartbeat.receiver == "other#1");
}

BOOST_AUTO_TEST_CASE(AResignationEndsTheBeliefInAHolder)
{
  membership.OnHeartbeat({ "other#1", "me#1", std::nullopt, 1, false });
  BOOST_TEST(membership.HearsHolder());
  membership.OnHeartbeat({ "other#1", "me#1", std::nullopt, 1, true });
  BOOST_TEST(!membership.HearsHolder());
}

BOOST_AUTO_TEST_CASE(ARecordIsSpreadUntilAllHaveItOrHaveEnded)
{
  deliveries["a#1"] = PeerDelivery::Answered;
  deliveries["b#1"] = PeerDelivery::Silent;
  deliveries["c#1"] = PeerDelivery::Ended;
  bool isDone = false;
  Pooler::RecordBroadcast spread(
    time, *this, { MemberOf("a"), MemberOf("b"), MemberOf("c") }, {}, [&] {
      isDone = true;
    });
  spread.Start();
  Pass(1s);
  BOOST_TEST(!isDone);
  BOOST_TEST(spread.Missing() == 1U);
  deliveries["b#1"] = PeerDelivery::Answered;
  Pass(200ms);
  BOOST_TEST(isDone);
}

BOOST_AUTO_TEST_CASE(ADatabaseThatCantBeReachedIsReachedThroughOthers)
{
  Pooler::RelayTable book(time);
  const Wire::Address first{ "127.0.0.1", 11 };
  const Wire::Address second{ "127.0.0.1", 12 };
  book.SetRelays({ first, second });
  BOOST_TEST(!book.RelayFor("db").has_value());
  book.OnDialled("db", std::nullopt, false);
  const auto relay = book.RelayFor("db");
  BOOST_REQUIRE(relay.has_value());
  BOOST_TEST(!book.RelayFor("another").has_value());
  // One that doesn't get through gives way to the next.
  book.OnDialled("db", relay, false);
  BOOST_CHECK(book.RelayFor("db") != relay);
  book.OnDialled("db", book.RelayFor("db"), true);
  // The direct way is tried again now and then.
  Pass(2100ms);
  BOOST_TEST(!book.RelayFor("db").has_value());
}

BOOST_AUTO_TEST_CASE(ADatabaseThatNobodyReachesIsDown)
{
  Pooler::RelayTable book(time);
  book.SetRelays({ { "127.0.0.1", 11 }, { "127.0.0.1", 12 } });
  book.OnDialled("db", std::nullopt, false);
  for (int attempt = 0; attempt < 3; ++attempt)
    book.OnDialled("db", book.RelayFor("db"), false);
  BOOST_TEST(!book.RelayFor("db").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
