#define BOOST_TEST_MODULE NodeOnLoopback
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "NodeFixture.h"

using namespace std::chrono_literals;
using StandIns::Client;
using StandIns::kDutyTimeout;
using StandIns::kTestTimeout;
using Fixture = StandIns::NodeFixture;

namespace {

constexpr std::size_t kOversized = std::size_t{ 3 } << 20U;

/** The bound for replacing a primary. */
constexpr Core::Duration kFailoverBound = 6s;

/** The bound within which a configuration of a large deployment is in force. */
constexpr Core::Duration kApplyBound = 5s;

/** The bound within which any other configuration is in force. */
constexpr Core::Duration kPromptApplyBound = 3s;

/** A configuration that takes seconds to arrive at a node. */
struct LargeConfigurationCase
{
  const char* name;
  /** The link to the store, in bytes per second. */
  std::size_t rate;
  bool isHistoryDropped;
};

std::ostream&
operator<<(std::ostream& aStream, const LargeConfigurationCase& aCase)
{
  return aStream << aCase.name;
}

const LargeConfigurationCase kLargeConfigurations[] = {
  { "changes of the table", 600'000, false },
  { "the whole table after the history was dropped", 600'000, true },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Loopback, Fixture)

BOOST_AUTO_TEST_CASE(ASessionReadsWhatItWrote)
{
  Client& client = ConnectUntilServed(0);
  BOOST_TEST(Query(client, "STORE 1a4 some data") ==
             "COMPLETE signed-i-a READY I -");
  const std::string response = Query(client, "FETCH 1a4");
  BOOST_TEST(response.starts_with("DATAROW some data COMPLETE signed-"));
  BOOST_TEST(ReadinessStatus(0) == 200);
}

BOOST_AUTO_TEST_CASE(ATransactionIsInvisibleUntilItCommits)
{
  Client& client = ConnectUntilServed(0);
  BOOST_TEST(Query(client, "BEGIN") == "COMPLETE - READY T -");
  BOOST_TEST(Query(client, "STORE k v1").ends_with("READY T -"));
  Client& other = ConnectUntilServed(1);
  BOOST_TEST(Query(other, "FETCH k").starts_with("DATAROW - "));
  BOOST_TEST(Query(client, "COMMIT") == "COMPLETE signed-i-a READY I -");
  BOOST_TEST(databases["i-a"]->ValueOf("k") == "v1");
}

BOOST_AUTO_TEST_CASE(APreparedStatementRunsUnderTheClientsName)
{
  Client& client = ConnectUntilServed(0);
  BOOST_TEST(Query(client, "PARSE s1 STORE q2c") == "COMPLETE - READY I -");
  BOOST_TEST(
    Query(client, "EXECUTE s1 k v2").starts_with("COMPLETE signed-i-a"));
  BOOST_TEST(databases["i-a"]->ValueOf("k") == "v2");
}

BOOST_AUTO_TEST_CASE(AnUnknownDatabaseIsReportedAndTheSessionCloses)
{
  ConnectUntilServed(0);
  Client& client = Connect(0, "nowhere");
  BOOST_REQUIRE(RunUntil([&] { return client.isEnded; }));
  BOOST_REQUIRE(!client.lines.empty());
  BOOST_TEST(client.lines.front() == "ERROR NODB nowhere");
}

BOOST_AUTO_TEST_CASE(AnOversizedMessageIsAnsweredWithAnError)
{
  Client& client = ConnectUntilServed(0);
  client.lines.clear();
  client.connection->Write("QUERY q1 STORE k " + std::string(kOversized, 'x'));
  BOOST_REQUIRE(RunUntil([&] { return client.isEnded; }));
  BOOST_REQUIRE(!client.lines.empty());
  BOOST_TEST(client.lines.front().starts_with("ERROR TOOLARGE"));
}

BOOST_AUTO_TEST_CASE(AConfigurationIsAppliedByAllNodes)
{
  ConnectUntilServed(0);
  ConnectUntilServed(1);
  Configure(2, "market");
  for (const std::size_t node : { 0U, 1U }) {
    bool isOpen = false;
    for (int attempt = 0; attempt < 50 && !isOpen; ++attempt) {
      Client& client = Connect(node, "market");
      BOOST_REQUIRE(RunUntil([&] { return !client.lines.empty(); }));
      isOpen = client.lines.front() == "READY I -";
    }
    BOOST_TEST(isOpen);
  }
}

/**
 * Guards against a configuration that is confirmed but not in force. All nodes
 * wait on long polls whose connections have gone silent, while new requests to
 * the store are answered. A draining database is announced on the same way.
 */
BOOST_AUTO_TEST_CASE(AConfigurationIsAppliedAlthoughAllLongPollsAreSilent)
{
  ConnectUntilServed(0);
  ConnectUntilServed(1);
  const Core::Instant holdsDutyAt = loop.Now() + kDutyTimeout;
  RunUntil([&] { return loop.Now() > holdsDutyAt; });
  store.SilencePolls();
  const Core::Instant confirmedAt = loop.Now();
  Configure(2, "market");
  for (const std::size_t node : { 0U, 1U })
    BOOST_TEST(ServesBefore(node, "market", confirmedAt + kPromptApplyBound),
               "node " << node << " doesn't serve the new route");
}

/**
 * A configuration with thousands of routes takes over a second to arrive over
 * a small VM's link, longer than a request may wait for an answer. Meanwhile
 * peers report that they have seen it. A node that asked again before the
 * response was complete never received one.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       ALargeConfigurationOverASlowLinkIsInForceInTime,
                       boost::unit_test::data::make(kLargeConfigurations))
{
  UseSlowLink(sample.rate);
  const Core::Instant confirmedAt = loop.Now();
  if (sample.isHistoryDropped)
    store.DropHistory();
  Configure(2, "market", 4000);
  for (const std::size_t node : { 1U, 0U })
    BOOST_TEST(ServesBefore(node, "market", confirmedAt + kApplyBound),
               "node " << node << " doesn't serve the new route");
}

BOOST_AUTO_TEST_CASE(AFailedPrimaryIsReplacedWithoutLosingAcknowledgedWrites)
{
  Client& client = ConnectUntilServed(0);
  Query(client, "STORE k before");
  databases["i-a"]->Kill();
  std::string response;
  const Core::Instant end = loop.Now() + kTestTimeout;
  do {
    response = Query(client, "STORE k after");
  } while (!response.starts_with("COMPLETE") && loop.Now() < end);
  BOOST_TEST(response.starts_with("COMPLETE signed-"));
  BOOST_TEST(!response.starts_with("COMPLETE signed-i-a"));
  BOOST_TEST(Query(client, "FETCH k").starts_with("DATAROW after "));
}

/** How far the store is behind after it was restored. */
struct RestorationCase
{
  const char* name;
  /** A primary is replaced after the copy was made. */
  bool isPrimaryReplaced;
  bool isRestored;
};

std::ostream&
operator<<(std::ostream& aStream, const RestorationCase& aCase)
{
  return aStream << aCase.name;
}

const RestorationCase kRestorations[] = {
  { "two changes of primary, nothing is lost", true, false },
  { "nothing but leases is lost", false, true },
  { "a change of primary is lost", true, true },
};

/**
 * A restored store has rows with lower versions than the nodes remember. Nodes
 * that took these rows for old ones never wrote the lease of the failover duty
 * or a group's record again, so that no primary was ever replaced.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AFailedPrimaryIsReplacedAfterTheStoreWasRestored,
                       boost::unit_test::data::make(kRestorations))
{
  Client& client = ConnectUntilServed(0);
  const auto waitFor = [&](Core::Duration aTime) {
    const Core::Instant end = loop.Now() + aTime;
    RunUntil([&] { return loop.Now() > end; });
  };
  // A node holds the duty, and the versions rise with its renewals.
  waitFor(kDutyTimeout);
  store.TakeCopy();
  Client* writer = &client;
  if (sample.isPrimaryReplaced) {
    databases["i-a"]->Kill();
    BOOST_REQUIRE(WriteUntilServed(*writer, "k", "before", kTestTimeout));
  }
  waitFor(3s);
  if (sample.isRestored)
    store.Restore();
  store.reads = 0;
  waitFor(3s);
  BOOST_TEST(store.reads < 60);
  const std::string primary = sample.isPrimaryReplaced ? "i-b" : "i-a";
  BOOST_TEST_REQUIRE(databases[primary]->isPrimary);
  databases[primary]->Kill();
  BOOST_TEST(WriteUntilServed(*writer, "k", "after", kFailoverBound));
}

/**
 * The first version that a restored store gives out again may be one that a
 * node has seen before. The change with it must not be missed.
 */
BOOST_AUTO_TEST_CASE(AConfigurationWrittenToARestoredStoreIsApplied)
{
  ConnectUntilServed(0);
  store.TakeCopy();
  Configure(2, "market");
  BOOST_REQUIRE(ServesBefore(0, "market", loop.Now() + kTestTimeout));
  store.Restore();
  // The operator writes again what the store has lost.
  Configure(2, "market");
  Configure(3, "square");
  const Core::Instant confirmedAt = loop.Now();
  for (const std::size_t node : { 0U, 1U })
    BOOST_TEST(ServesBefore(node, "square", confirmedAt + kApplyBound));
}

BOOST_AUTO_TEST_CASE(NodesServeForALeaseWhileTheStoreIsDown)
{
  Client& client = ConnectUntilServed(0);
  store.isDown = true;
  const Core::Instant begin = loop.Now();
  RunUntil([&] { return loop.Now() - begin > 1500ms; });
  BOOST_TEST(Query(client, "STORE k v").starts_with("COMPLETE signed-i-a"));
  store.isDown = false;
  RunUntil([&] { return loop.Now() - begin > 4500ms; });
  BOOST_TEST(Query(client, "STORE k w").starts_with("COMPLETE signed-i-a"));
}

BOOST_AUTO_TEST_CASE(LostStoreResponsesDoNotStopService)
{
  store.repliesToLose = 6;
  Client& client = ConnectUntilServed(1);
  BOOST_TEST(Query(client, "STORE k v").starts_with("COMPLETE signed-i-a"));
}

/** The four nodes together may open two connections to each database. */
BOOST_AUTO_TEST_CASE(NodesWithoutConnectionsUseThoseOfPeers)
{
  maxConnections = 4;
  Configure(2, "shop");
  nodes.push_back(StartNode("n3"));
  nodes.push_back(StartNode("n4"));
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    const std::string value = "v" + std::to_string(node);
    Client& client = ConnectUntilServed(node);
    for (int round = 0; round < 40; ++round) {
      BOOST_TEST(
        Query(client, "STORE k " + value).starts_with("COMPLETE signed-i-a"));
      BOOST_TEST(Query(client, "FETCH k").starts_with("DATAROW " + value));
    }
    Query(client, "BEGIN");
    Query(client, "STORE k in transaction");
    BOOST_TEST(Query(client, "COMMIT").starts_with("COMPLETE signed-i-a"));
    BOOST_TEST(Query(client, "PARSE s1 STORE q2c") == "COMPLETE - READY I -");
    BOOST_TEST(
      Query(client, "EXECUTE s1 k v2").starts_with("COMPLETE signed-"));
  }
  for (const auto& [id, database] : databases)
    BOOST_TEST(database->Connections() <= 4);
}

BOOST_AUTO_TEST_CASE(AStoppingNodeIsNotReadyAndLetsTransactionsEnd)
{
  Client& idleClient = ConnectUntilServed(0);
  Client& busyClient = ConnectUntilServed(0);
  Query(busyClient, "BEGIN");
  Query(busyClient, "STORE k v");
  idleClient.isEnded = false;
  nodes[0]->Stop();
  BOOST_TEST(ReadinessStatus(0) == 503);
  BOOST_REQUIRE(RunUntil([&] { return idleClient.isEnded; }));
  BOOST_TEST(!busyClient.isEnded);
  BOOST_TEST(Query(busyClient, "COMMIT").starts_with("COMPLETE signed-i-a"));
}

/**
 * After its last client has left, a process waits for the store's response
 * before it exits. A client accepted in that time would be disconnected in the
 * middle of a statement.
 */
BOOST_AUTO_TEST_CASE(AStoppedNodeRejectsNewClients)
{
  ConnectUntilServed(0);
  nodes[0]->Stop();
  // The loop stops when the node has stopped.
  RunUntil([] { return false; });
  Client& late = Connect(0);
  const auto hasOutcome = [&] { return late.isEnded || !late.lines.empty(); };
  // The node stops the loop twice.
  if (!RunUntil(hasOutcome))
    RunUntil(hasOutcome);
  BOOST_TEST(late.isEnded);
  BOOST_TEST(late.lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()
