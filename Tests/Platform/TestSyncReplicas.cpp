#define BOOST_TEST_MODULE SyncReplicas
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "NodeFixture.h"

using namespace std::chrono_literals;
using StandIns::Client;
using Fixture = StandIns::NodeFixture;

namespace {

/** Which replica becomes primary after the loss of the primary. */
struct LossCase
{
  const char* name;
  int syncReplicas;
  const char* promoted;
};

std::ostream&
operator<<(std::ostream& aStream, const LossCase& aCase)
{
  return aStream << aCase.name;
}

const LossCase kLosses[] = {
  { "without synchronous replicas, one that stays", 0, "i-c" },
  { "with one synchronous replica, the one that has the commits", 1, "i-b" },
};

} // namespace

/**
 * Guards against acknowledged writes that are lost with their primary, over the
 * whole path from the configuration to the platform's promote call: a leaving
 * replica has received them, the one that stays has not.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       TheConfigurationDecidesWhoReplacesALostPrimary,
                       boost::unit_test::data::make(kLosses))
{
  syncReplicas = sample.syncReplicas;
  Configure(2, "shop");
  std::vector<std::string> promoted;
  store.OnPromote([&](const std::string&, const std::string& aId) {
    promoted.push_back(aId);
    Promote(aId);
  });
  Client& client = ConnectUntilServed(0);
  const Core::Instant holdsDutyAt = loop.Now() + StandIns::kDutyTimeout;
  RunUntil([&] { return loop.Now() > holdsDutyAt; });
  List("i-b", "draining");
  databases["i-a"]->replicas = { databases["i-b"].get() };
  BOOST_TEST(WriteUntilServed(client, "stock", "7", 5s));
  databases["i-a"]->Kill();
  BOOST_TEST(RunUntil([&] { return !promoted.empty(); }));
  BOOST_REQUIRE(!promoted.empty());
  BOOST_TEST(promoted.front() == sample.promoted);
  const bool keepsWrite = sample.syncReplicas > 0;
  BOOST_TEST((databases.at(promoted.front())->ValueOf("stock") == "7") ==
             keepsWrite);
}
