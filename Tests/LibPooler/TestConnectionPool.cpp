#define BOOST_TEST_MODULE ConnectionPool
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

  std::uint64_t Want(const std::string& aName, Core::Duration aDueIn)
  {
    return PoolFixture::Want(pool, aName, { time.Now() + aDueIn });
  }
  void GiveBack(bool aIsClean = true) { PoolFixture::GiveBack(pool, aIsClean); }

  ConnectionPool pool;
};

const std::vector<std::string> kNobody;

} // namespace

BOOST_FIXTURE_TEST_SUITE(Pool, Fixture)

BOOST_AUTO_TEST_CASE(OpensNoMoreThanItsLimit)
{
  pool.SetLimit(2);
  for (int i = 0; i < 5; ++i)
    Want("w", 200ms);
  Pass(100ms);
  BOOST_TEST(served.size() == 2U);
  BOOST_TEST(databases.At("p").connections == 2);
  BOOST_TEST(pool.Waiting() == 3);
}

BOOST_AUTO_TEST_CASE(UsesAConnectionAgain)
{
  Want("a", 200ms);
  Pass(10ms);
  GiveBack();
  Want("b", 200ms);
  BOOST_TEST(served.back() == "b");
  BOOST_TEST(pool.Dials() == 1U);
}

BOOST_AUTO_TEST_CASE(AnUncleanConnectionIsReplaced)
{
  Want("a", 200ms);
  Pass(10ms);
  GiveBack(false);
  Want("b", 200ms);
  Pass(10ms);
  BOOST_TEST(served.back() == "b");
  BOOST_TEST(pool.Dials() == 2U);
  BOOST_TEST(databases.At("p").connections == 1);
}

BOOST_AUTO_TEST_CASE(WhoeverLeavesIsNotServed)
{
  Want("a", 200ms);
  Pass(10ms);
  const auto ticket = Want("b", 200ms);
  pool.Cancel(ticket);
  GiveBack();
  const std::vector<std::string> expected{ "a" };
  BOOST_TEST(served == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AFullDatabaseIsAskedAgainWhileOthersHoldIt)
{
  databases.At("p").maxConnections = 0;
  Want("a", 200ms);
  Pass(30ms);
  BOOST_TEST(served == kNobody, boost::test_tools::per_element());
  databases.At("p").maxConnections = 1;
  Pass(200ms);
  BOOST_TEST(served.back() == "a");
}

BOOST_AUTO_TEST_CASE(ADarkDatabaseIsSaidToBeUnreachable)
{
  databases.At("p").isDark = true;
  Want("a", 200ms);
  Pass(700ms);
  BOOST_REQUIRE(served.size() == 1);
  BOOST_TEST(served.front() == "a refused");
  BOOST_CHECK(refusals.front() == PoolRefusal::Unreachable);
  BOOST_TEST(pool.IsSuspect());
}

BOOST_AUTO_TEST_CASE(ARetiredPoolRefusesAtOnce)
{
  Want("a", 200ms);
  Pass(10ms);
  Want("b", 200ms);
  pool.Retire();
  BOOST_TEST(served.back() == "b refused");
  Want("c", 200ms);
  BOOST_TEST(served.back() == "c refused");
  GiveBack();
  BOOST_TEST(databases.At("p").connections == 0);
}

BOOST_AUTO_TEST_CASE(AQuestionWithoutAnswerClosesItsConnection)
{
  Want("a", 200ms);
  Pass(10ms);
  databases.At("p").isDark = true;
  bool isComplete = true;
  pool.RunAndRelease(
    held.front(),
    { .kind = Sql::CommandKind::Status },
    300ms,
    [&](const Sql::DatabaseReply& aReply) { isComplete = aReply.isComplete; });
  held.clear();
  Pass(400ms);
  BOOST_TEST(!isComplete);
  BOOST_TEST(pool.InUse() == 0);
  BOOST_TEST(pool.Open() == 0);
}

/**
 * Pattern: replicas too far behind send all reads to one primary, for many
 * seconds more than it can serve. Those who are late already must not make
 * those late who could still be answered in time.
 */
BOOST_AUTO_TEST_CASE(UnderOverloadThoseInTimeGoBeforeThoseWhoAreLate)
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
          pool.Release(aConnection, true);
        });
      });
    Pass(kInterval);
  }
  Pass(5s);
  BOOST_TEST(inTime + late == kArrivals);
  // Work takes one and a half times the interval, so that two in three can be
  // served; a tenth of them is left for the beginning.
  BOOST_TEST(inTime >= kArrivals * 6 / 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(AVanishedEntryIsDoubtedForAWhile)
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

BOOST_AUTO_TEST_CASE(AnEntryThatComesBackIsAsBefore)
{
  Pooler::DatabaseDirectory directory;
  const Core::Instant start{ 10s };
  directory.Set("a", Pooler::Database{}, start);
  directory.BeginReload();
  directory.EndReload(start + 1s);
  directory.Set("a", Pooler::Database{}, start + 2s);
  BOOST_TEST(!directory.Expire(start + 60s));
}

BOOST_AUTO_TEST_CASE(ALeavingEntryThatVanishesIsGone)
{
  Pooler::DatabaseDirectory directory;
  const Core::Instant start{ 10s };
  Pooler::Database database;
  database.isLeaving = true;
  directory.Set("a", database, start);
  directory.Set("a", std::nullopt, start + 1s);
  BOOST_TEST(directory.List().empty());
}
