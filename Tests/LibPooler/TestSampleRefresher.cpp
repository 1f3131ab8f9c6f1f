#define BOOST_TEST_MODULE SampleRefresher
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeDatabases.h"

#include <LibPooler/SampleRefresher.h>

#include <memory>
#include <optional>
#include <ostream>

using namespace std::chrono_literals;

namespace {

constexpr Authority::AuthorityLease kLease{ 7500ms, 1200ms };

/** A group of one database "p", whose samples the refresher keeps recent. */
class Fixture
{
public:
  Fixture()
    : databases(time)
  {
    databases.Add("p", true);
    auto router =
      std::make_unique<Pooler::GroupRouter>(time, databases, "g", "dc", kLease);
    router->SetDatabases({ Listed() });
    router->ObserveRecord({ "g", 1, "p", std::nullopt, {}, 1 }, time.Now());
    routers.emplace("g", std::move(router));
    refresher.emplace(time, databases, routers);
  }
  ~Fixture() { time.Close(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  static Pooler::Database Listed()
  {
    Pooler::Database database;
    database.id = "p";
    database.group = "g";
    database.dataCentre = "dc";
    return database;
  }
  Pooler::GroupRouter& Router() { return *routers.at("g"); }
  void AdvanceBy(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  Simulation::VirtualTime time;
  Fakes::FakeDatabases databases;
  Pooler::GroupRouters routers;
  std::optional<Pooler::SampleRefresher> refresher;
};

/** What the request for a position waits for when its pool goes. */
struct OutstandingCase
{
  const char* name;
  /** The database stops answering after so long; it refuses dials as well. */
  Core::Duration answersFor;
  /** The pool goes after so long. */
  Core::Duration goesAfter;
};

std::ostream&
operator<<(std::ostream& aStream, const OutstandingCase& aCase)
{
  return aStream << aCase.name;
}

const OutstandingCase kOutstanding[] = {
  { "a connection", 0ms, 300ms },
  { "the database's reply", 500ms, 700ms },
};

} // namespace

/**
 * Guards against a group whose position is never requested again, so that no
 * replica can be read: its pool went while a request was outstanding.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AGroupIsAskedAgainAfterItsPoolWent,
                       boost::unit_test::data::make(kOutstanding))
{
  AdvanceBy(sample.answersFor);
  databases.At("p").isUnreachable = true;
  AdvanceBy(sample.goesAfter);
  const std::weak_ptr<Pooler::ConnectionPool> former = Router().Pools().at("p");
  // The database was started again.
  Pooler::Database restarted = Listed();
  restarted.startedAt += 1;
  Router().SetDatabases({ restarted });
  BOOST_TEST(former.expired());
  databases.At("p").isUnreachable = false;
  const Core::Instant since = time.Now();
  AdvanceBy(1500ms);
  BOOST_REQUIRE(Router().Samples().Newest().has_value());
  BOOST_CHECK(*Router().Samples().Newest() > since);
}

/**
 * Guards against pools and connections that outlive the node: the request for a
 * position was outstanding, and kept what would have answered it.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       NothingOutlivesTheRouters,
                       boost::unit_test::data::make(kOutstanding))
{
  AdvanceBy(sample.answersFor);
  databases.At("p").isUnreachable = true;
  AdvanceBy(sample.goesAfter);
  const std::weak_ptr<Pooler::ConnectionPool> pool = Router().Pools().at("p");
  refresher.reset();
  routers.clear();
  time.Close();
  BOOST_TEST(pool.expired());
  BOOST_TEST(databases.At("p").connections == 0);
}
