#define BOOST_TEST_MODULE RowFollower
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../Simulation/VirtualTime.h"

#include <LibAuthority/RowFollower.h>

#include <map>

using namespace std::chrono_literals;
using Authority::FollowedRows;
using Authority::FollowEventKind;
using Authority::PendingRequest;
using Authority::RowFollower;
using Authority::StoredRow;
using Authority::StoreRows;
using Authority::StoreStatus;

namespace {

constexpr Core::Duration kOneWay = 2ms;
constexpr Authority::FollowTiming kTiming{ 2s, 12s, 100ms, 2s };

constexpr Core::Duration kTransferTimes[] = { 100ms, 700ms, 3s };

/** The store's client reports a request without a response after this. */
constexpr Core::Duration kRequestTimeout = 700ms;

/** A request and its response on their way. */
struct Exchange
{
  bool isCancelled = false;
  bool isAnswered = false;
  std::size_t receivedBytes = 0;
};

class FakeRequest final : public PendingRequest
{
public:
  explicit FakeRequest(std::shared_ptr<Exchange> aExchange)
    : exchange_(std::move(aExchange))
  {
  }
  ~FakeRequest() override { exchange_->isCancelled = true; }
  std::size_t ReceivedBytes() const override
  {
    return exchange_->receivedBytes;
  }

private:
  std::shared_ptr<Exchange> exchange_;
};

/** A store with one table, and a follower of it. */
class Fixture : public Authority::ChangeFeed
{
public:
  Fixture()
    : follower(
        time,
        *this,
        "t",
        kTiming,
        Core::Random(1),
        { [this] { return receivesFromPeers; },
          [this] { return mustBePrompt; } },
        [this](const FollowedRows& aRows) { OnRows(aRows); },
        [this](const Authority::FollowEvent& aEvent) {
          events.push_back(aEvent.kind);
        })
  {
  }
  ~Fixture() override { time.Close(); }

  void AdvanceBy(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  void Put(const std::string& aKey)
  {
    rows[aKey] = { aKey, "value", ++version };
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& task : waiting)
      task();
  }

  void OnRows(const FollowedRows& aRows)
  {
    ++deliveries;
    snapshots += aRows.isSnapshot ? 1 : 0;
    for (const StoredRow& row : aRows.rows)
      receivedVersions[row.key] = row.version;
    newestRequestedAt = aRows.requestedAt;
  }

  std::unique_ptr<PendingRequest> ReadRows(const std::string&,
                                           const std::string& aFrom,
                                           RowsHandler aDone) override
  {
    ++requests;
    const auto exchange = std::make_shared<Exchange>();
    time.DeferFor(2 * kOneWay, [this, exchange, aFrom, aDone] {
      if (exchange->isCancelled)
        return;
      StoreRows reply{
        failure.value_or(StoreStatus::Done), {}, version, false
      };
      for (const auto& [key, row] : rows) {
        if (key < aFrom)
          continue;
        if (reply.rows.size() == pageSize) {
          reply.hasMore = true;
          break;
        }
        reply.rows.push_back(row);
      }
      aDone(reply);
    });
    return std::make_unique<FakeRequest>(exchange);
  }

  std::unique_ptr<PendingRequest> AwaitChanges(const std::string&,
                                               std::uint64_t aAfter,
                                               Core::Duration aWait,
                                               RowsHandler aDone) override
  {
    ++requests;
    lastWait = aWait;
    const auto exchange = std::make_shared<Exchange>();
    if (isUnresponsive) {
      time.DeferFor(aWait + kRequestTimeout, [exchange, aDone] {
        if (!exchange->isCancelled)
          aDone(StoreRows{});
      });
      return std::make_unique<FakeRequest>(exchange);
    }
    const auto reply = [this, exchange, aAfter, aDone] {
      if (!std::exchange(exchange->isAnswered, true))
        SendChanges(exchange, aAfter, aDone);
    };
    if (version != aAfter || failure || isHistoryGone)
      time.DeferFor(kOneWay, reply);
    else
      waiting_.push_back(reply);
    time.DeferFor(kOneWay + aWait, reply);
    return std::make_unique<FakeRequest>(exchange);
  }

  void SendChanges(const std::shared_ptr<Exchange>& aExchange,
                   std::uint64_t aAfter,
                   const RowsHandler& aDone)
  {
    StoreRows result{ failure.value_or(StoreStatus::Done), {}, version, false };
    // The store doesn't have versions above its newest one.
    if (isHistoryGone || aAfter > version)
      result.answer = StoreStatus::HistoryGone;
    for (const auto& [key, row] : rows) {
      if (row.version > aAfter)
        result.rows.push_back(row);
    }
    result.receivedBytes = responseBytes;
    time.DeferFor(kOneWay, [aExchange] { aExchange->receivedBytes = 1; });
    time.DeferFor(kOneWay + transferTime, [aExchange, result, aDone] {
      if (!aExchange->isCancelled)
        aDone(result);
    });
  }

  Simulation::VirtualTime time;
  std::map<std::string, StoredRow> rows;
  std::uint64_t version = 0;
  std::size_t pageSize = 100;
  /** How long the rows of a response take to arrive after its first bytes. */
  Core::Duration transferTime{ 0 };
  /** The size of each response with changes. */
  std::size_t responseBytes = 0;
  bool receivesFromPeers = false;
  bool mustBePrompt = false;
  /** Requests for changes get no reply. */
  bool isUnresponsive = false;
  /** Every request for changes fails for lack of history. */
  bool isHistoryGone = false;
  std::optional<StoreStatus> failure;
  int requests = 0;
  int deliveries = 0;
  int snapshots = 0;
  Core::Duration lastWait{ 0 };
  Core::Instant newestRequestedAt{};
  std::map<std::string, std::uint64_t> receivedVersions;
  std::vector<FollowEventKind> events;
  Authority::RowFollower follower;

private:
  std::vector<std::function<void()>> waiting_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Following, Fixture)

BOOST_AUTO_TEST_CASE(ReadsAllPagesFirst)
{
  pageSize = 2;
  for (const char* key : { "a", "b", "c", "d", "e" })
    Put(key);
  follower.Start();
  AdvanceBy(100ms);
  BOOST_TEST(receivedVersions.size() == 5U);
  BOOST_TEST(snapshots == 1);
  BOOST_TEST(follower.NewestRowVersion() == 5U);
}

BOOST_AUTO_TEST_CASE(DeliversAChangeImmediately)
{
  follower.Start();
  AdvanceBy(1s);
  Put("a");
  AdvanceBy(10ms);
  BOOST_TEST(receivedVersions.contains("a"));
}

/** All members of a fleet start and write their rows within 300 ms. */
BOOST_AUTO_TEST_CASE(BatchesABurstOfChangesIntoFewRequests)
{
  follower.Start();
  AdvanceBy(1s);
  const int before = requests;
  for (int i = 0; i < 60; ++i) {
    Put("m" + std::to_string(i));
    AdvanceBy(5ms);
  }
  AdvanceBy(200ms);
  BOOST_TEST(receivedVersions.size() == 60U);
  BOOST_TEST(requests - before <= 5);
}

/**
 * A large fleet restarts, or its VMs are replaced one by one for minutes: a row
 * changes every 100 ms, and each node is told of every change.
 */
BOOST_AUTO_TEST_CASE(ALongSeriesOfChangesTakesOneRequestABusyInterval)
{
  receivesFromPeers = true;
  follower.Start();
  AdvanceBy(10s);
  const int before = requests;
  for (int i = 0; i < 300; ++i) {
    Put("m" + std::to_string(i));
    AdvanceBy(100ms);
  }
  BOOST_TEST(requests - before <= 30s / kTiming.busyInterval +
                                    Authority::RowFollower::kMaxPromptPolls +
                                    1);
  AdvanceBy(kTiming.busyInterval + 100ms);
  BOOST_TEST(receivedVersions.size() == 300U);
}

BOOST_AUTO_TEST_CASE(AChangeAfterAQuietTimeIsDeliveredPromptly)
{
  receivesFromPeers = true;
  follower.Start();
  for (int i = 0; i < 50; ++i) {
    Put("m" + std::to_string(i));
    AdvanceBy(100ms);
  }
  AdvanceBy(10s);
  for (const char* key : { "a", "b" }) {
    Put(key);
    AdvanceBy(150ms);
    BOOST_TEST(receivedVersions.contains(key));
  }
}

/** The holder of the failover duty acts on members that have just started. */
BOOST_AUTO_TEST_CASE(APromptFollowerKeepsToTheShortPause)
{
  mustBePrompt = true;
  follower.Start();
  AdvanceBy(1s);
  for (int i = 0; i < 50; ++i) {
    Put("m" + std::to_string(i));
    AdvanceBy(150ms);
    BOOST_TEST(receivedVersions.contains("m" + std::to_string(i)));
  }
}

/** A peer has a newer record of a group than this node. */
BOOST_AUTO_TEST_CASE(ARefreshEndsThePauseAfterChanges)
{
  follower.Start();
  for (int i = 0; i < 20; ++i) {
    Put("m" + std::to_string(i));
    AdvanceBy(100ms);
  }
  BOOST_REQUIRE(!receivedVersions.contains("m19"));
  follower.Refresh();
  AdvanceBy(10ms);
  BOOST_TEST(receivedVersions.contains("m19"));
}

BOOST_AUTO_TEST_CASE(PollsOftenWithoutPeerUpdates)
{
  follower.Start();
  AdvanceBy(24s);
  BOOST_TEST(requests >= 12);
  // A reply may be a poll duration old, and the next one takes as long again.
  BOOST_TEST((time.Now() - newestRequestedAt < 2 * kTiming.shortWait + 100ms));
}

BOOST_AUTO_TEST_CASE(PollsRarelyWithPeerUpdates)
{
  receivesFromPeers = true;
  follower.Start();
  AdvanceBy(24s);
  BOOST_TEST(requests <= 4);
}

BOOST_AUTO_TEST_CASE(ShortensThePollWhenPeersGoSilent)
{
  receivesFromPeers = true;
  follower.Start();
  AdvanceBy(5s);
  receivesFromPeers = false;
  AdvanceBy(300ms);
  BOOST_TEST((lastWait == kTiming.shortWait));
}

BOOST_AUTO_TEST_CASE(DetectsAnUnresponsiveConnectionByVersionsPeersHaveSeen)
{
  receivesFromPeers = true;
  isUnresponsive = true;
  follower.Start();
  AdvanceBy(3s);
  isUnresponsive = false;
  Put("a");
  AdvanceBy(1s);
  BOOST_TEST(!receivedVersions.contains("a"));
  follower.OnSeenByPeer(version);
  AdvanceBy(50ms);
  BOOST_TEST(receivedVersions.contains("a"));
}

/**
 * The holder of the failover duty compares what it has seen with what others
 * have seen in each of its ticks. While a large response arrives, a follower
 * that asks again each time discards the response and never has the row.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AResponseThatArrivesSlowlyIsAwaited,
                       boost::unit_test::data::make(kTransferTimes))
{
  receivesFromPeers = true;
  follower.Start();
  AdvanceBy(3s);
  transferTime = sample;
  Put("a");
  const Core::Instant end = time.Now() + sample + 600ms;
  while (time.Now() < end) {
    AdvanceBy(50ms);
    follower.OnSeenByPeer(version);
  }
  BOOST_TEST(receivedVersions.contains("a"));
}

BOOST_AUTO_TEST_CASE(KnownVersionCausesNoRequest)
{
  receivesFromPeers = true;
  Put("a");
  follower.Start();
  AdvanceBy(2s);
  const int before = requests;
  follower.OnSeenByPeer(version);
  AdvanceBy(10ms);
  BOOST_TEST(requests == before);
}

BOOST_AUTO_TEST_CASE(ReadsASnapshotWhenTheHistoryIsGone)
{
  follower.Start();
  AdvanceBy(100ms);
  failure = StoreStatus::HistoryGone;
  follower.Refresh();
  AdvanceBy(4ms);
  failure.reset();
  AdvanceBy(100ms);
  BOOST_TEST(snapshots >= 2);
  BOOST_TEST((events.back() == FollowEventKind::HistoryGone));
}

/** A large response delays other traffic, so the log must show it. */
BOOST_AUTO_TEST_CASE(ReportsALargeResponse)
{
  follower.Start();
  AdvanceBy(100ms);
  responseBytes = RowFollower::kLargeResponseBytes - 1;
  Put("a");
  AdvanceBy(200ms);
  BOOST_TEST(events.empty());
  ++responseBytes;
  Put("b");
  AdvanceBy(200ms);
  BOOST_TEST_REQUIRE(events.size() == 1U);
  BOOST_TEST((events.front() == FollowEventKind::LargeResponse));
}

/**
 * A restored store has lower versions than before. A follower that kept its
 * higher version asked for changes after it, again and again, and missed those
 * up to that version.
 */
BOOST_AUTO_TEST_CASE(FollowsARestoredStoreFromItsSnapshot)
{
  for (const char* key : { "a", "b", "c", "d" })
    Put(key);
  follower.Start();
  AdvanceBy(100ms);
  version = 2;
  rows.erase("c");
  rows.erase("d");
  follower.Refresh();
  AdvanceBy(50ms);
  const int before = requests;
  AdvanceBy(1500ms);
  BOOST_TEST(requests - before <= 1);
  Put("e");
  Put("f");
  AdvanceBy(200ms);
  BOOST_TEST(receivedVersions.contains("e"));
  BOOST_TEST(receivedVersions.contains("f"));
}

BOOST_AUTO_TEST_CASE(ReadsAStoreWithoutHistoryWithPauses)
{
  isHistoryGone = true;
  follower.Start();
  AdvanceBy(10s);
  BOOST_TEST(snapshots >= 10);
  BOOST_TEST(snapshots <= 101);
}

BOOST_AUTO_TEST_CASE(RetriesARefusedRequestWithBackoff)
{
  follower.Start();
  AdvanceBy(100ms);
  failure = StoreStatus::Refused;
  follower.Refresh();
  AdvanceBy(10s);
  const int during = requests;
  BOOST_TEST(during < 50);
  failure.reset();
  Put("a");
  AdvanceBy(700ms);
  BOOST_TEST(receivedVersions.contains("a"));
  BOOST_TEST((events[1] == FollowEventKind::Lost));
  BOOST_TEST((events.back() == FollowEventKind::Regained));
}

BOOST_AUTO_TEST_CASE(RefreshIsAnsweredImmediately)
{
  receivesFromPeers = true;
  follower.Start();
  AdvanceBy(5s);
  const Core::Instant before = time.Now();
  follower.Refresh();
  AdvanceBy(50ms);
  BOOST_TEST((newestRequestedAt >= before));
}

BOOST_AUTO_TEST_SUITE_END()
