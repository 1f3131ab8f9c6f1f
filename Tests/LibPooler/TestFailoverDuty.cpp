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
  void SendRecord(const Pooler::Member&,
                  const Authority::GroupRecord&,
                  std::function<void(Pooler::PeerDelivery)>) override
  {
  }
  void FetchRecords(
    const Pooler::Member&,
    const std::string&,
    std::function<void(std::vector<Pooler::RelayedRecord>)>) override
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
};

/** Another database that is listed at the address of the primary. */
struct SharedAddressCase
{
  const char* name;
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
  { "a later one at the same address", 9, 200, true },
  { "an earlier one at the same address", 9, 50, false },
  { "a later one at another address", 10, 200, false },
};

/** The version at which the rows were read before a change begins. */
struct RevocationCase
{
  const char* name;
  std::uint64_t before;
  Core::Duration confirmedAfter;
};

std::ostream&
operator<<(std::ostream& aStream, const RevocationCase& aCase)
{
  return aStream << aCase.name;
}

const RevocationCase kRevocations[] = {
  { "the same era", MakeStoreVersion(2, 10), 0ms },
  { "restored in between", MakeStoreVersion(1, 50), 9300ms },
};

} // namespace

/**
 * A restored store lists databases that ended before, possibly at addresses
 * that others use by now. Taken for the later one, such an entry would have a
 * working primary replaced without a fence.
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
  list["other"].port = sample.port;
  list["other"].startedAt = sample.startedAt;
  duty.SetDatabases(list);
  BOOST_TEST(Port().HasEnded("primary") == sample.hasPrimaryEnded);
}

/**
 * A restored store lacks members that have registered since the copy was made.
 * They may use the old primary although all listed members have confirmed the
 * change.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       ConfirmationsCountOnceForgottenMembersHaveNoAuthority,
                       boost::unit_test::data::make(kRevocations))
{
  duty.OnRowsApplied(sample.before);
  duty.OnRowsApplied(MakeStoreVersion(2, 20));
  Authority::GroupRecord record;
  record.group = "g";
  record.version = MakeStoreVersion(2, 15);
  const Core::Instant begin = time.Now();
  std::optional<Core::Instant> confirmedAt;
  Port().RevokeEverywhere(record, [&] { confirmedAt = time.Now(); });
  AdvanceBy(12s);
  BOOST_REQUIRE(confirmedAt.has_value());
  BOOST_TEST((*confirmedAt - begin >= sample.confirmedAfter));
  BOOST_TEST((*confirmedAt - begin <= sample.confirmedAfter + 100ms));
}
