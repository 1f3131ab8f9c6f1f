#define BOOST_TEST_MODULE KeyWithdrawal
#include <boost/test/unit_test.hpp>

#include "NodeFixture.h"

using namespace std::chrono_literals;
using StandIns::Client;
using StandIns::kDutyTimeout;

namespace {

constexpr Core::Duration kWithdrawal = 3s;

/** Fast enough to be no limit; it only serves to be cut. */
constexpr std::size_t kLinkRate = std::size_t{ 100 } << 20U;

/**
 * Two nodes that hold withdrawals strictly, and two keys. The first node
 * reaches the store directly, the second one over a link that can be cut.
 */
class Fixture : public StandIns::NodeFixture
{
public:
  Fixture()
  {
    nodes.clear();
    otherSettings = "[keys]\nstrict_withdrawal = true\nwithdrawal_ms = 3000\n";
    SetKeys(2, R"("me","other")");
    nodes.push_back(StartNode("direct"));
    ConnectUntilServed(0);
    // It takes the failover duty, so that its proofs reach the other node.
    const Core::Instant holdsDutyAt = loop.Now() + kDutyTimeout;
    RunUntil([&] { return loop.Now() > holdsDutyAt; });
    const Wire::Address direct = storeAddress;
    link = std::make_unique<StandIns::SlowLink>(loop, direct, kLinkRate);
    storeAddress = link->ListenAddress();
    nodes.push_back(StartNode("cut"));
    storeAddress = direct;
    ConnectUntilServed(1);
  }

  void SetKeys(int aVersion, const std::string& aKeys)
  {
    tenants = R"(,"tenants":[{"name":"c1","api-keys":[)" + aKeys + "]}]";
    Configure(aVersion, "shop");
  }

  /** Runs for aTime, which is long enough to show that nothing happens. */
  void Wait(Core::Duration aTime)
  {
    const Core::Instant end = loop.Now() + aTime;
    RunUntil([&] { return loop.Now() > end; });
  }

  /** Returns the first response other than success before aLimit is over. */
  std::string FirstRefusal(Client& aClient, Core::Duration aLimit)
  {
    const Core::Instant end = loop.Now() + aLimit;
    std::string response;
    do
      response = Query(aClient, "STORE k v");
    while (response.starts_with("COMPLETE") && loop.Now() < end);
    return response;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeyWithdrawals, Fixture)

/** Proofs reach all nodes for longer than one lasts, and nothing is refused. */
BOOST_AUTO_TEST_CASE(KeysAreServedInCalm)
{
  Client& direct = ConnectUntilServed(0);
  Client& cut = ConnectUntilServed(1);
  const Core::Instant end = loop.Now() + 2 * kWithdrawal;
  while (loop.Now() < end) {
    BOOST_REQUIRE(Query(direct, "STORE k v").starts_with("COMPLETE"));
    BOOST_REQUIRE(Query(cut, "STORE k v").starts_with("COMPLETE"));
    Wait(100ms);
  }
}

/** The holder's heartbeats prove the keys of a node that lost the store. */
BOOST_AUTO_TEST_CASE(ANodeThatLostTheStoreServesOnByHeartbeats)
{
  Client& cut = ConnectUntilServed(1);
  link.reset();
  Wait(2 * kWithdrawal);
  BOOST_TEST(Query(cut, "STORE k v").starts_with("COMPLETE"));
  BOOST_TEST(ReadinessStatus(1) == 200);
}

/**
 * Guards against a withdrawn key that a node still serves, since the store
 * turns it away, in a session that was open before.
 */
BOOST_AUTO_TEST_CASE(ANodeThatLostTheStoreRefusesAWithdrawnKeyInTime)
{
  Client& direct = ConnectUntilServed(0);
  Client& cut = ConnectUntilServed(1);
  link.reset();
  Wait(500ms);
  SetKeys(3, R"("other")");
  BOOST_TEST(FirstRefusal(direct, kWithdrawal).starts_with("ERROR UNAUTH"));
  // The cut node gets the configuration from the other one, so that it knows
  // which key is gone, and serves the others.
  BOOST_TEST(FirstRefusal(cut, kWithdrawal).starts_with("ERROR UNAUTH"));
  BOOST_TEST(ReadinessStatus(1) == 200);
  for (const std::size_t node : { 0U, 1U }) {
    Client& other = Connect(node, "shop", "other");
    BOOST_REQUIRE(RunUntil([&] { return !other.lines.empty(); }));
    BOOST_TEST(other.lines.front() == "READY I -");
  }
}

/** While the store is down, keys are refused; afterwards they are served. */
BOOST_AUTO_TEST_CASE(KeysAreRefusedWhileTheStoreIsDown)
{
  Client& direct = ConnectUntilServed(0);
  Client& cut = ConnectUntilServed(1);
  store.isDown = true;
  Wait(kWithdrawal);
  BOOST_TEST(Query(direct, "STORE k v").starts_with("ERROR BUSY"));
  BOOST_TEST(Query(cut, "STORE k v").starts_with("ERROR BUSY"));
  store.isDown = false;
  BOOST_TEST(WriteUntilServed(direct, "k", "v", 10s));
  BOOST_TEST(WriteUntilServed(cut, "k", "v", 10s));
}

/** A configuration that can't be read may have withdrawn any key. */
BOOST_AUTO_TEST_CASE(AnUnreadableConfigurationProvesNothing)
{
  Client& direct = ConnectUntilServed(0);
  store.Put("op", "config", "[]");
  BOOST_TEST(FirstRefusal(direct, 2 * kWithdrawal).starts_with("ERROR BUSY"));
  SetKeys(3, R"("me")");
  BOOST_TEST(WriteUntilServed(direct, "k", "v", 10s));
}

BOOST_AUTO_TEST_SUITE_END()
