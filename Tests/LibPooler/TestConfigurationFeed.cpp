#define BOOST_TEST_MODULE ConfigurationFeed
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../Simulation/VirtualTime.h"

#include <LibPooler/ConfigurationFeed.h>

#include <ostream>

using namespace std::chrono_literals;
using Authority::PendingRequest;
using Authority::StoreRows;
using Authority::StoreStatus;
using Pooler::ConfigurationPart;
using Pooler::ConfigurationPublisher;
using Pooler::ConfigurationRequest;
using Pooler::Member;

namespace {

constexpr Core::Duration kRoundTrip = 2ms;
constexpr Core::Duration kPeerTimeout = 400ms;

/** Several parts long. */
std::string
LargeValue(const std::string& aMark)
{
  std::string value = "{" + aMark + "}";
  for (int i = 0; i < 20000; ++i)
    value += "{route " + std::to_string(i) + "}";
  return value;
}

class FakeCall final : public PendingRequest
{
public:
  explicit FakeCall(std::shared_ptr<bool> aIsCancelled)
    : isCancelled_(std::move(aIsCancelled))
  {
  }
  ~FakeCall() override { *isCancelled_ = true; }
  std::size_t ReceivedBytes() const override { return 0; }

private:
  std::shared_ptr<bool> isCancelled_;
};

/** A peer, with the row that it has and how it misbehaves. */
struct FakePeer
{
  explicit FakePeer(Simulation::VirtualTime& aTime, Metrics::Registry& aMetrics)
    : publisher(aTime, aMetrics)
  {
  }
  ConfigurationPublisher publisher;
  bool isSilent = false;
  /** Parts after which it falls silent; none: it doesn't. */
  std::optional<int> partsBeforeSilence;
  /** Sends parts in which a letter is wrong. */
  bool corruptsParts = false;
  int requests = 0;
  std::size_t sentBytes = 0;
};

/** Followers beside this one; all of them act as the same fake peer. */
constexpr int kOthers = 12;

/** A follower in a data centre with one reader and other followers. */
class Fixture
  : public Authority::ChangeFeed
  , public Pooler::ConfigurationPeers
{
public:
  Fixture()
    : reader(time, metrics)
    , other(time, metrics)
    , own(time, metrics)
    , feed(time,
           { *this,
             *this,
             own,
             [] { return false; },
             [this] { return isNotified; } },
           "self#1",
           "config",
           metrics,
           [](std::string_view, const boost::json::object&) {})
  {
    const auto member = [](const std::string& aName, double aProcessors) {
      Member result;
      result.name = aName;
      result.incarnation = "1";
      result.dataCentre = "dc";
      result.processors = aProcessors;
      return result;
    };
    std::vector<Member> members{ member("reader", 1), member("self", 0.1) };
    for (int i = 0; i < kOthers; ++i)
      members.push_back(member("other-" + std::to_string(i), 0.1));
    feed.Sources().SetMembers(members);
  }
  ~Fixture() override { time.Close(); }

  std::unique_ptr<PendingRequest> Fetch(const Member& aMember,
                                        const ConfigurationRequest& aRequest,
                                        Handler aDone) override
  {
    FakePeer& peer = aMember.name == "reader" ? reader : other;
    ++peer.requests;
    const auto isCancelled = std::make_shared<bool>(false);
    const bool isSilent = peer.isSilent || (peer.partsBeforeSilence &&
                                            (*peer.partsBeforeSilence)-- <= 0);
    if (isSilent) {
      time.DeferFor(aRequest.wait + kPeerTimeout, [isCancelled, aDone] {
        if (!*isCancelled)
          aDone({});
      });
      return std::make_unique<FakeCall>(isCancelled);
    }
    time.DeferFor(kRoundTrip, [&peer, aRequest, isCancelled, aDone] {
      peer.publisher.Answer(
        aRequest, [&peer, isCancelled, aDone](ConfigurationPart aPart) {
          peer.sentBytes += aPart.text.size();
          if (peer.corruptsParts && !aPart.text.empty())
            aPart.text.front() = '#';
          if (!*isCancelled)
            aDone(std::move(aPart));
        });
    });
    return std::make_unique<FakeCall>(isCancelled);
  }

  std::unique_ptr<PendingRequest> ReadRows(const std::string&,
                                           const std::string&,
                                           RowsHandler aDone) override
  {
    return AnswerFromStore(aDone);
  }
  std::unique_ptr<PendingRequest> AwaitChanges(const std::string&,
                                               std::uint64_t,
                                               Core::Duration,
                                               RowsHandler aDone) override
  {
    return AnswerFromStore(aDone);
  }
  std::unique_ptr<PendingRequest> AnswerFromStore(const RowsHandler& aDone)
  {
    ++storeRequests;
    const auto isCancelled = std::make_shared<bool>(false);
    time.DeferFor(kRoundTrip, [this, isCancelled, aDone] {
      StoreRows rows;
      rows.answer = StoreStatus::Done;
      rows.rows.push_back({ "config", storeValue, storeVersion });
      rows.version = storeVersion;
      if (!*isCancelled)
        aDone(rows);
    });
    return std::make_unique<FakeCall>(isCancelled);
  }

  /** Requests changes until there is a result, and applies it. */
  StoreRows Request(Core::Duration aWait = 5s)
  {
    std::optional<StoreRows> result;
    pending = feed.AwaitChanges(
      "op", own.Version(), aWait, [&](const StoreRows& aRows) {
        result = aRows;
      });
    const Core::Instant end = time.Now() + 20s;
    while (!result && time.Now() < end)
      time.RunUntil(time.Now() + 1ms);
    BOOST_REQUIRE(result.has_value());
    for (const auto& row : result->rows)
      own.SetRow(row.version, row.value);
    return *result;
  }

  Simulation::VirtualTime time;
  Metrics::Registry metrics;
  FakePeer reader;
  FakePeer other;
  ConfigurationPublisher own;
  Pooler::ConfigurationFeed feed;
  std::string storeValue = "{from the store}";
  std::uint64_t storeVersion = 99;
  int storeRequests = 0;
  bool isNotified = true;
  std::unique_ptr<PendingRequest> pending;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Feed, Fixture)

BOOST_AUTO_TEST_CASE(ALargeRowArrivesInParts)
{
  const std::string value = LargeValue("a");
  reader.publisher.SetStoreVersion(12);
  reader.publisher.SetRow(10, value);
  const StoreRows rows = Request();
  BOOST_TEST_REQUIRE(rows.rows.size() == 1U);
  BOOST_TEST(rows.rows[0].key == "config");
  BOOST_TEST((rows.rows[0].value == value));
  BOOST_TEST(rows.rows[0].version == 10U);
  BOOST_TEST(rows.version == 12U);
  BOOST_TEST(!rows.isFromStore);
  BOOST_TEST(reader.requests > 3);
  BOOST_TEST(storeRequests == 0);
}

BOOST_AUTO_TEST_CASE(APollIsAnsweredWhenTheRowChanges)
{
  reader.publisher.SetRow(10, "{a}");
  Request();
  time.DeferFor(700ms, [this] { reader.publisher.SetRow(11, "{b}"); });
  const Core::Instant begin = time.Now();
  const StoreRows rows = Request(29s);
  BOOST_TEST(rows.rows.at(0).value == "{b}");
  BOOST_TEST((time.Now() - begin < 710ms));
}

BOOST_AUTO_TEST_CASE(APollWithoutAChangeEndsWithoutRows)
{
  reader.publisher.SetRow(10, "{a}");
  Request();
  const StoreRows rows = Request(500ms);
  BOOST_TEST((rows.answer == StoreStatus::Done));
  BOOST_TEST(rows.rows.empty());
}

/** Guards against sending the whole of a large row for each small change. */
BOOST_AUTO_TEST_CASE(ASmallChangeOfALargeRowIsSentAsADelta)
{
  reader.publisher.SetRow(10, LargeValue("a"));
  Request();
  reader.sentBytes = 0;
  reader.publisher.SetRow(11, LargeValue("b"));
  reader.publisher.SetRow(12, LargeValue("c"));
  BOOST_TEST((Request().rows.at(0).value == LargeValue("c")));
  BOOST_TEST(reader.sentBytes < 200U);
}

BOOST_AUTO_TEST_CASE(APeerThatMissedManyChangesGetsTheWholeRow)
{
  reader.publisher.SetRow(10, LargeValue("a"));
  Request();
  for (std::uint64_t i = 0; i <= ConfigurationPublisher::kMaxDeltas; ++i)
    reader.publisher.SetRow(11 + i, LargeValue(std::to_string(i)));
  const std::string last = std::to_string(ConfigurationPublisher::kMaxDeltas);
  BOOST_TEST((Request().rows.at(0).value == LargeValue(last)));
}

/**
 * Guards against beginning a transfer again from nothing: what has arrived is
 * completed by another peer.
 */
BOOST_AUTO_TEST_CASE(ATransferThatBrokeOffGoesOnAtAnotherPeer)
{
  const std::string value = LargeValue("a");
  reader.publisher.SetRow(10, value);
  other.publisher.SetRow(10, value);
  reader.partsBeforeSilence = 3;
  BOOST_TEST((Request().answer == StoreStatus::NoAnswer));
  BOOST_TEST((Request().rows.at(0).value == value));
  BOOST_TEST(reader.sentBytes == 3 * ConfigurationPublisher::kPartBytes);
  BOOST_TEST(reader.sentBytes + other.sentBytes == value.size());
}

/**
 * Guards against a transfer that never ends because the row changes more often
 * than it takes.
 */
BOOST_AUTO_TEST_CASE(ALargeRowThatKeepsChangingIsReceived)
{
  reader.publisher.SetRow(10, LargeValue("a"));
  std::uint64_t version = 10;
  const auto changes = time.Every(kRoundTrip, [this, &version] {
    ++version;
    reader.publisher.SetRow(version, LargeValue(std::to_string(version)));
  });
  const Core::Instant begin = time.Now();
  BOOST_TEST(Request().rows.at(0).version >= 10U);
  BOOST_TEST((time.Now() - begin < 100ms));
}

/** Guards against taking over what a peer has sent wrongly. */
BOOST_AUTO_TEST_CASE(ACorruptedTransferIsNotUsed)
{
  reader.publisher.SetRow(10, LargeValue("a"));
  reader.corruptsParts = true;
  BOOST_TEST((Request().answer == StoreStatus::NoAnswer));
  reader.corruptsParts = false;
  BOOST_TEST((Request().rows.at(0).value == LargeValue("a")));
}

BOOST_AUTO_TEST_CASE(ADeltaThatDoesNotFitIsFollowedByTheWholeRow)
{
  reader.publisher.SetRow(10, LargeValue("a"));
  // A restored store may give out a version again.
  own.SetRow(10, "{something else}");
  reader.publisher.SetRow(11, LargeValue("b"));
  BOOST_TEST((Request().answer == StoreStatus::NoAnswer));
  BOOST_TEST((Request().rows.at(0).value == LargeValue("b")));
}

/** The ways in which the reader of a node's data centre may fail it. */
struct ReaderFault
{
  const char* name;
  bool isSilent;
  /** The reader has an earlier row, and gets no newer one. */
  bool isBehind;
  /** It is known that there is a newer row. */
  bool isNewerKnown;
};

std::ostream&
operator<<(std::ostream& aStream, const ReaderFault& aFault)
{
  return aStream << aFault.name;
}

const ReaderFault kReaderFaults[] = {
  { "frozen or cut off", true, false, true },
  { "frozen or cut off, unknown to all", true, false, false },
  { "cut from the store", false, true, true },
  { "cut from the store, unknown to all", false, true, false },
};

/** Guards against a node that waits for its reader beyond the bound. */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AChangeArrivesAlthoughTheReaderFails,
                       boost::unit_test::data::make(kReaderFaults))
{
  constexpr Core::Duration kBound = 3s;
  reader.publisher.SetRow(10, "{a}");
  own.SetRow(10, "{a}");
  reader.isSilent = sample.isSilent;
  if (!sample.isBehind)
    reader.publisher.SetRow(11, "{b}");
  other.publisher.SetRow(10, "{a}");
  isNotified = sample.isNewerKnown;
  if (sample.isNewerKnown)
    feed.Sources().OnNewerKnown(time.Now());
  const Core::Instant begin = time.Now();
  // Another node gets the row from the store.
  time.DeferFor(1s, [this] { other.publisher.SetRow(11, "{b}"); });
  while (own.Version() == 10 && time.Now() - begin < 2 * kBound)
    Request(sample.isNewerKnown ? 0ms : 1000ms);
  BOOST_TEST((time.Now() - begin < kBound));
}

BOOST_AUTO_TEST_CASE(AProofIsRequestedFromTheStore)
{
  reader.publisher.SetRow(10, "{a}");
  feed.RequireStore();
  BOOST_TEST(Request().isFromStore);
  BOOST_TEST(storeRequests == 1);
  BOOST_TEST(reader.requests == 0);
}

/** A node that starts has nothing; a peer that has nothing either is no help.
 */
BOOST_AUTO_TEST_CASE(AStartingNodeIsNotServedByAPeerWithoutTheRow)
{
  std::optional<StoreRows> result;
  pending =
    feed.ReadRows("op", "", [&](const StoreRows& aRows) { result = aRows; });
  time.RunUntil(time.Now() + 1100ms);
  BOOST_TEST_REQUIRE(result.has_value());
  BOOST_TEST((result->answer == StoreStatus::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
