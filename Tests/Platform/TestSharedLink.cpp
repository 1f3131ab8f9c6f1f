#define BOOST_TEST_MODULE SharedLink
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "NodeFixture.h"

using namespace std::chrono_literals;
using StandIns::kDutyTimeout;

namespace {

/** The bound within which a configuration is in force. */
constexpr Core::Duration kApplyBound = 3s;

/** The link from the store to the remote data centre, in bytes per second. */
constexpr std::size_t kLinkRate = 400'000;

constexpr std::size_t kRemoteNodes = 6;

/** Routes of the large configuration: about 0.35 MB in the store's response. */
constexpr int kRoutes = 1500;
constexpr std::size_t kResponseBytes = 350'000;

/** Two nodes beside the store, others behind a link that they share. */
class Fixture : public StandIns::NodeFixture
{
public:
  Fixture()
  {
    ConnectUntilServed(0);
    WaitFor(kDutyTimeout);
    const Wire::Address direct = storeAddress;
    link = std::make_unique<StandIns::SlowLink>(loop, direct, kLinkRate);
    storeAddress = link->ListenAddress();
    dataCentre = "remote";
    for (std::size_t i = 0; i < kRemoteNodes; ++i) {
      firstRemote = std::min(firstRemote, nodes.size());
      nodes.push_back(StartNode("remote-" + std::to_string(i)));
    }
    for (std::size_t node = firstRemote; node < nodes.size(); ++node)
      ConnectUntilServed(node);
  }

  void WaitFor(Core::Duration aTime)
  {
    const Core::Instant end = loop.Now() + aTime;
    RunUntil([&] { return loop.Now() > end; });
  }

  void CheckInForce(const std::string& aDatabase, Core::Instant aConfirmedAt)
  {
    for (std::size_t node = firstRemote; node < nodes.size(); ++node)
      BOOST_TEST(ServesBefore(node, aDatabase, aConfirmedAt + kApplyBound),
                 "node " << node << " doesn't serve " << aDatabase);
  }

  std::size_t firstRemote = SIZE_MAX;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SharedLink, Fixture)

/**
 * Guards against a confirmed configuration that isn't in force in one region.
 * All nodes of the region read the whole configuration from the store at the
 * same moment, over a link that they share, so that none received it in time.
 */
BOOST_AUTO_TEST_CASE(ALargeConfigurationIsInForceBehindALinkThatNodesShare)
{
  const std::size_t before = link->SentBytes();
  Configure(2, "market", kRoutes);
  CheckInForce("market", loop.Now());
  BOOST_TEST(link->SentBytes() - before < 3 * kResponseBytes);
}

BOOST_AUTO_TEST_SUITE_END()
