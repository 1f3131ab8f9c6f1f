#define BOOST_TEST_MODULE SharedLink
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "NodeFixture.h"

#include <LibCore/Hash.h>

#include <algorithm>

using namespace std::chrono_literals;
using StandIns::kDutyTimeout;

namespace {

/** The bound within which a configuration is in force. */
constexpr Core::Duration kApplyBound = 3s;

/** The link from the store to the remote data centre, in bytes per second. */
constexpr std::size_t kLinkRate = 400'000;

constexpr std::size_t kUnlimitedRate = 1'000'000'000;

constexpr std::size_t kRemoteNodes = 12;

/** Routes of the large configuration: about 0.35 MB in the store's response. */
constexpr int kRoutes = 1500;
constexpr std::size_t kResponseBytes = 350'000;

/** What happens to the node of the remote data centre that reads the store. */
enum class ReaderFault
{
  Ended,
  CutFromStore,
};

struct ReaderCase
{
  const char* name;
  ReaderFault fault;
};

std::ostream&
operator<<(std::ostream& aStream, const ReaderCase& aCase)
{
  return aStream << aCase.name;
}

const ReaderCase kReaderCases[] = {
  { "ended", ReaderFault::Ended },
  { "cut from the store", ReaderFault::CutFromStore },
};

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
    dataCentre = "remote";
    firstRemote = nodes.size();
    reader = firstRemote + ReaderIndex();
    readerLink = std::make_unique<StandIns::SlowLink>(
      loop, link->ListenAddress(), kUnlimitedRate);
    for (std::size_t i = 0; i < kRemoteNodes; ++i) {
      const bool isReader = nodes.size() == reader;
      storeAddress =
        isReader ? readerLink->ListenAddress() : link->ListenAddress();
      nodes.push_back(StartNode(NameOf(i)));
    }
    for (std::size_t node = firstRemote; node < nodes.size(); ++node)
      ConnectUntilServed(node);
    // By then heartbeats reach the nodes, and the requests of the start are
    // over.
    WaitFor(1s);
  }

  static std::string NameOf(std::size_t aIndex)
  {
    return "remote-" + std::to_string(aIndex);
  }

  /** Of VMs of one size, the one with the lowest hash reads the store. */
  static std::size_t ReaderIndex()
  {
    std::size_t first = 0;
    for (std::size_t i = 1; i < kRemoteNodes; ++i) {
      if (Core::StableHash(NameOf(i)) < Core::StableHash(NameOf(first)))
        first = i;
    }
    return first;
  }

  void WaitFor(Core::Duration aTime)
  {
    const Core::Instant end = loop.Now() + aTime;
    RunUntil([&] { return loop.Now() > end; });
  }

  void CheckInForce(const std::string& aDatabase, Core::Instant aConfirmedAt)
  {
    for (std::size_t node = firstRemote; node < nodes.size(); ++node) {
      if (nodes[node] == nullptr)
        continue;
      BOOST_TEST(ServesBefore(node, aDatabase, aConfirmedAt + kApplyBound),
                 "node " << node << " doesn't serve " << aDatabase);
    }
  }

  std::size_t firstRemote = 0;
  std::size_t reader = 0;
  /** The reader's own way to the shared link. */
  std::unique_ptr<StandIns::SlowLink> readerLink;
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

/**
 * Guards against nodes that wait for the one that reads the store for them,
 * although it has ended or doesn't reach the store.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AConfigurationIsInForceAlthoughTheReaderFails,
                       boost::unit_test::data::make(kReaderCases))
{
  if (sample.fault == ReaderFault::Ended)
    nodes[reader].reset();
  readerLink.reset();
  Configure(2, "market");
  CheckInForce("market", loop.Now());
}

BOOST_AUTO_TEST_SUITE_END()
