#define BOOST_TEST_MODULE ConnectionPool
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "PoolFixture.h"

#include <LibPooler/DatabaseDirectory.h>

using namespace std::chrono_literals;
using Pooler::ConnectionPool;
using Pooler::PooledConnectionHandle;
using Pooler::PoolRefusal;

namespace {

class Fixture : public Fakes::PoolFixture
{
public:
  Fixture()
    : pool(time, databases, Listed())
  {
    pool.SetLimit(1);
  }
  ~Fixture() { End(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  std::uint64_t RequestConnection(const std::string& aName,
                                  Core::Duration aDueIn)
  {
    return PoolFixture::RequestConnection(pool, aName, { time.Now() + aDueIn });
  }
  void ReturnConnection(bool aIsClean = true)
  {
    PoolFixture::ReturnConnection(pool, aIsClean);
  }

  ConnectionPool pool;
};

const std::vector<std::string> kNoneServed;

/** What happens on a connection before it is released. */
struct ReleaseCase
{
  const char* name;
  std::vector<Sql::CommandKind> commands;
  Core::Duration wait;
  bool isLost;
  bool isRolledBack;
  bool isReused;
};

std::ostream&
operator<<(std::ostream& aStream, const ReleaseCase& aCase)
{
  return aStream << aCase.name;
}

using Sql::CommandKind;

const ReleaseCase kReleases[] = {
  { "unused", {}, 10ms, false, false, true },
  { "after a transaction",
    { CommandKind::Begin, CommandKind::Rollback },
    10ms,
    false,
    true,
    true },
  { "in a transaction", { CommandKind::Begin }, 10ms, false, true, true },
  { "in a transaction that only reads",
    { CommandKind::BeginReadOnly },
    10ms,
    false,
    true,
    true },
  { "with a reply outstanding",
    { CommandKind::Begin },
    1ms,
    false,
    false,
    false },
  { "broken in a transaction",
    { CommandKind::Begin },
    10ms,
    true,
    false,
    false },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Pool, Fixture)

BOOST_AUTO_TEST_CASE(OpensNoMoreThanItsLimit)
{
  pool.SetLimit(2);
  for (int i = 0; i < 5; ++i)
    RequestConnection("w", 200ms);
  AdvanceBy(100ms);
  BOOST_TEST(served.size() == 2U);
  BOOST_TEST(databases.At("p").connections == 2);
  BOOST_TEST(pool.Waiting() == 3);
}

BOOST_AUTO_TEST_CASE(ReusesConnection)
{
  RequestConnection("a", 200ms);
  AdvanceBy(10ms);
  ReturnConnection();
  RequestConnection("b", 200ms);
  BOOST_TEST(served.back() == "b");
  BOOST_TEST(pool.Dials() == 1U);
}

BOOST_AUTO_TEST_CASE(UncleanConnectionIsReplaced)
{
  RequestConnection("a", 200ms);
  AdvanceBy(10ms);
  ReturnConnection(false);
  RequestConnection("b", 200ms);
  AdvanceBy(10ms);
  BOOST_TEST(served.back() == "b");
  BOOST_TEST(pool.Dials() == 2U);
  BOOST_TEST(databases.At("p").connections == 1);
}

/**
 * Guards against a connection that is handed on in the middle of a
 * transaction, whatever its last user says of it: a write of the next user
 * would be acknowledged and then rolled back.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       ReleasedConnectionIsHandedOnOnlyIfClean,
                       boost::unit_test::data::make(kReleases))
{
  RequestConnection("a", 200ms);
  AdvanceBy(10ms);
  for (const Sql::CommandKind kind : sample.commands)
    held.front()->Send({ .kind = kind }, [](const auto&) {});
  AdvanceBy(sample.wait);
  if (sample.isLost)
    databases.BreakConnections("p");
  ReturnConnection();
  RequestConnection("b", 200ms);
  AdvanceBy(10ms);
  BOOST_TEST(served.back() == "b");
  BOOST_TEST(pool.Dials() == (sample.isReused ? 1U : 2U));
  BOOST_TEST(databases.At("p").HasRun("rollback") == sample.isRolledBack);
  BOOST_TEST(databases.At("p").connections == 1);
}

BOOST_AUTO_TEST_CASE(CancelledWaiterIsNotServed)
{
  RequestConnection("a", 200ms);
  AdvanceBy(10ms);
  const auto ticket = RequestConnection("b", 200ms);
  pool.Cancel(ticket);
  ReturnConnection();
  const std::vector<std::string> expected{ "a" };
  BOOST_TEST(served == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RedialsWhenDatabaseIsAtConnectionLimit)
{
  databases.At("p").maxConnections = 0;
  RequestConnection("a", 200ms);
  AdvanceBy(30ms);
  BOOST_TEST(served == kNoneServed, boost::test_tools::per_element());
  databases.At("p").maxConnections = 1;
  AdvanceBy(200ms);
  BOOST_TEST(served.back() == "a");
}

BOOST_AUTO_TEST_CASE(UnresponsiveDatabaseIsReportedUnreachable)
{
  databases.At("p").isUnreachable = true;
  RequestConnection("a", 200ms);
  AdvanceBy(700ms);
  BOOST_REQUIRE(served.size() == 1);
  BOOST_TEST(served.front() == "a refused");
  BOOST_CHECK(refusals.front() == PoolRefusal::Unreachable);
  BOOST_TEST(pool.IsSuspect());
}

BOOST_AUTO_TEST_CASE(RetiredPoolRefusesImmediately)
{
  RequestConnection("a", 200ms);
  AdvanceBy(10ms);
  RequestConnection("b", 200ms);
  pool.Retire();
  BOOST_TEST(served.back() == "b refused");
  RequestConnection("c", 200ms);
  BOOST_TEST(served.back() == "c refused");
  ReturnConnection();
  BOOST_TEST(databases.At("p").connections == 0);
}

BOOST_AUTO_TEST_CASE(RequestWithoutReplyClosesItsConnection)
{
  RequestConnection("a", 200ms);
  AdvanceBy(10ms);
  databases.At("p").isUnreachable = true;
  bool isComplete = true;
  pool.RunAndRelease(
    held.front(),
    { .kind = Sql::CommandKind::Status },
    300ms,
    [&](const Sql::DatabaseReply& aReply) { isComplete = aReply.isComplete; });
  held.clear();
  AdvanceBy(400ms);
  BOOST_TEST(!isComplete);
  BOOST_TEST(pool.InUse() == 0);
  BOOST_TEST(pool.Open() == 0);
}

/**
 * Guards against connections that stay open for ever: their pool went while the
 * reply to a command of this node was outstanding.
 */
BOOST_FIXTURE_TEST_CASE(NoConnectionOutlivesItsPool, Fixture)
{
  auto former = std::make_unique<ConnectionPool>(time, databases, Listed());
  PoolFixture::RequestConnection(*former, "a", { time.Now() + 200ms });
  AdvanceBy(10ms);
  databases.At("p").isUnreachable = true;
  former->RunAndRelease(held.front(),
                        { .kind = Sql::CommandKind::Status },
                        300ms,
                        [](const Sql::DatabaseReply&) {});
  held.clear();
  former.reset();
  AdvanceBy(400ms);
  BOOST_TEST(databases.At("p").connections == 0);
}

/** What the first of two users does before the second is looked at. */
struct LearnedLimitCase
{
  const char* name;
  bool isLearned;
  std::vector<Sql::CommandKind> commands;
  bool isSecondServed;
};

std::ostream&
operator<<(std::ostream& aStream, const LearnedLimitCase& aCase)
{
  return aStream << aCase.name;
}

const LearnedLimitCase kLearnedLimits[] = {
  { "not learned", false, {}, true },
  { "one statement runs", true, {}, false },
  { "a transaction rests", true, { CommandKind::Begin }, true },
  { "a transaction has ended",
    true,
    { CommandKind::Begin, CommandKind::Rollback },
    false },
};

/**
 * Guards against statements that wait inside a database although it takes no
 * more at once, and against transactions at rest that keep others out.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       LearnedLimitCountsOnlyWhatRuns,
                       boost::unit_test::data::make(kLearnedLimits))
{
  // Of four connections, a newly learned limit allows one statement.
  if (sample.isLearned)
    pool.LearnCapacity(std::make_shared<Admission::WorkTimes>());
  pool.SetLimit(4);
  RequestConnection("a", 200ms);
  RequestConnection("b", 200ms);
  AdvanceBy(10ms);
  for (const Sql::CommandKind kind : sample.commands)
    held.front()->Send({ .kind = kind }, [](const auto&) {});
  AdvanceBy(10ms);
  pool.ReviewWaiters();
  AdvanceBy(10ms);
  BOOST_TEST((served.back() == "b") == sample.isSecondServed);
  ReturnConnection();
  AdvanceBy(10ms);
  BOOST_TEST(served.back() == "b");
}

/** Guards against a read that is taken for fast because it was given up. */
BOOST_AUTO_TEST_CASE(AnOverdueStatementCountsAsSlow)
{
  pool.LearnCapacity(std::make_shared<Admission::WorkTimes>());
  pool.RecordLatency(10ms, "read");
  const Core::Duration before = pool.AverageLatency();
  pool.RecordOverdue(250ms, "read");
  BOOST_TEST(pool.AverageLatency().count() > before.count());
}

/**
 * Guards against queueing collapse: when replicas lag too far, all reads go to
 * the primary, which receives more than it can serve for many seconds.
 * Statements that are overdue must not delay those that can still finish on
 * time.
 */
BOOST_AUTO_TEST_CASE(UnderOverloadWaitersOnTimePrecedeOverdueOnes)
{
  constexpr Core::Duration kWork = 30ms;
  constexpr Core::Duration kInterval = 20ms;
  constexpr Core::Duration kTarget = 200ms;
  constexpr int kArrivals = 100;
  int inTime = 0;
  int late = 0;
  for (int i = 0; i < kArrivals; ++i) {
    const Core::Instant due = time.Now() + kTarget;
    pool.Acquire(
      { due },
      [&, due](const PooledConnectionHandle& aConnection, PoolRefusal) {
        time.DeferFor(kWork, [&, due, aConnection] {
          pool.RecordLatency(kWork);
          ++(time.Now() <= due ? inTime : late);
          pool.Release(aConnection);
        });
      });
    AdvanceBy(kInterval);
  }
  AdvanceBy(5s);
  BOOST_TEST(inTime + late == kArrivals);
  // A statement takes 1.5 times the interval between arrivals, so two in three
  // can finish on time. A tenth of these is allowed to be late at the start.
  BOOST_TEST(inTime >= kArrivals * 6 / 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(VanishedEntryIsKeptForGracePeriod)
{
  Pooler::DatabaseDirectory directory;
  const Core::Instant start{ 10s };
  Pooler::Database database;
  database.id = "a";
  directory.Set("a", database, start);
  directory.Set("a", std::nullopt, start + 1s);
  BOOST_TEST(!directory.Expire(start + 3s));
  BOOST_TEST(directory.List().contains("a"));
  BOOST_TEST(directory.Expire(start + 4s));
  BOOST_TEST(directory.List().empty());
}

BOOST_AUTO_TEST_CASE(ReappearedEntryDoesNotExpire)
{
  Pooler::DatabaseDirectory directory;
  const Core::Instant start{ 10s };
  directory.Set("a", Pooler::Database{}, start);
  directory.BeginReload();
  directory.EndReload(start + 1s);
  directory.Set("a", Pooler::Database{}, start + 2s);
  BOOST_TEST(!directory.Expire(start + 60s));
}

BOOST_AUTO_TEST_CASE(VanishedLeavingEntryIsRemovedAtOnce)
{
  Pooler::DatabaseDirectory directory;
  const Core::Instant start{ 10s };
  Pooler::Database database;
  database.isLeaving = true;
  directory.Set("a", database, start);
  directory.Set("a", std::nullopt, start + 1s);
  BOOST_TEST(directory.List().empty());
}

/**
 * A leaving database may be used for a limited time, which must not begin anew
 * when it is listed again. A process that starts doesn't know when it began.
 */
BOOST_AUTO_TEST_CASE(LeavingEntryKeepsItsTime)
{
  Pooler::DatabaseDirectory directory;
  const Core::Instant start{ 100s };
  Pooler::Database database;
  database.id = "a";
  database.startedAt = 7;
  directory.Set("a", database, start);
  database.isLeaving = true;
  for (const Core::Duration after : { 1s, 5s })
    directory.Set("a", database, start + after);
  BOOST_CHECK(directory.List().at("a").leavingSince == start + 1s);
  database.id = "b";
  directory.Set("b", database, start + 5s);
  BOOST_CHECK(directory.List().at("b").leavingSince < start);
}

/** What the list says of a database that was leaving a moment before. */
struct RestoredEntryCase
{
  const char* name;
  /** The entry is removed before it is listed as serving. */
  bool isRemovedBefore;
  /** The start of the process that is listed as serving; 0 if unknown. */
  std::int64_t startedAt;
  Core::Duration after;
  bool isLeaving;
};

std::ostream&
operator<<(std::ostream& aStream, const RestoredEntryCase& aCase)
{
  return aStream << aCase.name;
}

const RestoredEntryCase kRestoredEntries[] = {
  { "the same process", false, 7, 1s, true },
  { "the same process after its entry was removed", true, 7, 1s, true },
  { "restarted under the same id", false, 8, 1s, false },
  { "restarted after its entry was removed", true, 8, 1s, false },
  { "long after", true, 7, 120s, false },
};

/**
 * A restored store lists a database as serving that had begun to leave. Sent
 * new work, it would be stopped in the middle of it.
 */
BOOST_DATA_TEST_CASE(LeavingEntryDoesNotServeAgain,
                     boost::unit_test::data::make(kRestoredEntries))
{
  Pooler::DatabaseDirectory directory;
  const Core::Instant start{ 10s };
  Pooler::Database database;
  database.id = "a";
  database.startedAt = 7;
  database.isLeaving = true;
  directory.Set("a", database, start);
  if (sample.isRemovedBefore)
    directory.Set("a", std::nullopt, start);
  directory.Expire(start + sample.after);
  database.isLeaving = false;
  database.startedAt = sample.startedAt;
  directory.Set("a", database, start + sample.after);
  BOOST_TEST(directory.List().at("a").isLeaving == sample.isLeaving);
}
