// Clients that nobody controls must not end or exhaust a node. Each case starts
// one node process with the limits of a small VM, plays one crowd against it,
// and checks that the process lives, that its peak memory and its open
// descriptors stay under a bound, and that an ordinary client is then served
// while the crowd is still connected, and after it has gone.
#define BOOST_TEST_MODULE Crowds
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Cluster.h"
#include "Crowd.h"
#include "NodeProcess.h"

#include <algorithm>
#include <ostream>

namespace data = boost::unit_test::data;
using Crowds::Crowd;
using Crowds::Reading;

namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;

/** The VM's memory. A node at rest holds about a tenth of it. */
constexpr std::size_t kMemoryKibibytes = 96 * kKibibyte;
/** The VM's descriptors in the cases about them. */
constexpr std::size_t kFewDescriptors = 128;
/** Open at once in all other cases: the crowd and what the node uses itself. */
constexpr std::size_t kManyDescriptors = 512;

/** "QUERY q1 " and the line end around a statement. */
constexpr std::size_t kFrameBytes = 11;
constexpr int kTransactionStatements = 12;

/** A message below the longest legal one. */
constexpr std::size_t kLargeMessage = 900 * kKibibyte;

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string result;
  result.reserve(aText.size() * aCount);
  for (std::size_t i = 0; i < aCount; ++i)
    result += aText;
  return result;
}

std::shared_ptr<const std::string>
Script(const std::string& aText)
{
  return std::make_shared<const std::string>(aText);
}

const std::string kStartup("STARTUP shop me\r\n");

/** aCount values of a session, all under different names. */
std::string
ManyValues(std::size_t aCount)
{
  std::string text = kStartup;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += "QUERY v SET name-";
    text += std::to_string(i) + ' ';
    text += std::string(kLargeMessage, 'x') + "\r\n";
  }
  return text + "QUERY f FETCH warm\r\n";
}

/** aCount prepared statements, all under different names. */
std::string
ManyPrepared(std::size_t aCount)
{
  std::string text = kStartup;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += "QUERY p PARSE name-";
    text += std::to_string(i) + " FETCH ";
    text += std::string(kLargeMessage, 'x') + "\r\n";
  }
  return text;
}

std::string
LargeStatements(std::size_t aCount)
{
  return kStartup +
         Repeat("QUERY q FETCH " + std::string(kLargeMessage, 'x') + "\r\n",
                aCount);
}

struct CrowdCase
{
  const char* name;
  std::size_t size;
  std::size_t pieceBytes;
  Reading reading;
  std::string (*script)();
};

std::ostream&
operator<<(std::ostream& aStream, const CrowdCase& aCase)
{
  return aStream << aCase.name;
}

constexpr std::size_t kOnePiece = 4 * kMebibyte;
constexpr std::size_t kSmallPieces = 1400;

const CrowdCase kLegalMessages[] = {
  { "statements in one piece",
    16,
    kOnePiece,
    Reading::Everything,
    [] { return LargeStatements(24); } },
  { "statements in small pieces",
    16,
    kSmallPieces,
    Reading::Everything,
    [] { return LargeStatements(24); } },
  { "session values",
    8,
    kOnePiece,
    Reading::Everything,
    [] { return ManyValues(32); } },
  { "prepared statements",
    8,
    kOnePiece,
    Reading::Everything,
    [] { return ManyPrepared(32); } },
};

const CrowdCase kLongMessages[] = {
  { "with a line end",
    96,
    kOnePiece,
    Reading::Everything,
    [] {
      return kStartup + "QUERY q STORE a " + std::string(8 * kMebibyte, 'x') +
             "\r\n";
    } },
  { "without a line end",
    96,
    kOnePiece,
    Reading::Everything,
    [] { return kStartup + std::string(8 * kMebibyte, 'x'); } },
  { "before the startup",
    96,
    kOnePiece,
    Reading::None,
    [] { return std::string(8 * kMebibyte, 'x'); } },
};

const CrowdCase kUnreadAnswers[] = {
  { "large answers, nothing read",
    16,
    kOnePiece,
    Reading::None,
    [] { return kStartup + Repeat("QUERY q FETCH big\r\n", 60); } },
  { "many messages, nothing read",
    16,
    kOnePiece,
    Reading::None,
    [] { return kStartup + Repeat("QUERY q FETCH big\r\n", 20'000); } },
};

/** Rows are half a mebibyte each. */
const CrowdCase kLargeAnswers[] = {
  { "of 5 MiB, to many clients",
    20,
    kOnePiece,
    Reading::Everything,
    [] { return kStartup + Repeat("QUERY q FETCH large\r\n", 3); } },
  { "of 5 MiB, nothing read",
    20,
    kOnePiece,
    Reading::None,
    [] { return kStartup + Repeat("QUERY q FETCH large\r\n", 3); } },
  { "of 90 MiB",
    2,
    kOnePiece,
    Reading::Everything,
    [] { return kStartup + "QUERY q FETCH huge\r\n"; } },
};

const CrowdCase kSlowClients[] = {
  { "sending a byte at a time",
    200,
    1,
    Reading::Everything,
    [] { return kStartup + "QUERY q STORE a " + std::string(5000, 'x'); } },
  { "reading a byte at a time",
    200,
    kOnePiece,
    Reading::ByteByByte,
    [] { return kStartup + Repeat("QUERY q FETCH big\r\n", 4); } },
};

const CrowdCase kStoppedClients[] = {
  { "in a message",
    200,
    kOnePiece,
    Reading::Everything,
    [] {
      return kStartup + "QUERY q STORE a " + std::string(kLargeMessage, 'x');
    } },
  { "in a transaction",
    200,
    kOnePiece,
    Reading::Everything,
    [] {
      return kStartup + "QUERY q BEGIN\r\nQUERY q FETCH warm\r\n" +
             "QUERY q STORE warm " + std::string(100 * kKibibyte, 'x') + "\r\n";
    } },
  { "in the startup",
    200,
    kOnePiece,
    Reading::Everything,
    [] { return std::string("STARTUP sho"); } },
  { "before the startup",
    200,
    kOnePiece,
    Reading::Everything,
    [] { return std::string(); } },
};

const CrowdCase kManyConnections[] = {
  { "without a startup",
    300,
    kOnePiece,
    Reading::Everything,
    [] { return std::string(); } },
  { "with idle sessions",
    300,
    kOnePiece,
    Reading::Everything,
    [] { return kStartup; } },
};

/** Plays crowds against one node and checks what must hold. */
class Fixture
{
public:
  explicit Fixture(std::size_t aDescriptors)
    : node(
        { cluster.StoreAddress(), LimitSettings(aDescriptors), aDescriptors })
  {
    const bool isServed =
      Crowds::IsServedInTheEnd(node.ClientAddress(), "STORE warm up");
    BOOST_REQUIRE_MESSAGE(isServed,
                          "not served; the node "
                            << (node.IsAlive() ? "runs" : "has ended"));
    for (const std::string item : { "big", "large", "huge" }) {
      BOOST_REQUIRE(Crowds::IsServedInTheEnd(
        node.ClientAddress(),
        "STORE " + item + ' ' + std::string(kMebibyte / 2, 'y')));
    }
  }

  /** The limits of the VM, as the platform fills them in. */
  static std::string LimitSettings(std::size_t aDescriptors)
  {
    return "[limits]\nmemory_mb = " +
           std::to_string(kMemoryKibibytes / kKibibyte) +
           "\ndescriptors = " + std::to_string(aDescriptors) +
           "\nreserved_descriptors = 100\nslow_ms = 1000\n";
  }

  void Play(const CrowdCase& aCase)
  {
    const int receiveBuffer =
      aCase.reading == Reading::Everything ? 0 : 4 * int{ kKibibyte };
    Crowd crowd(node.ClientAddress(),
                aCase.size,
                { Script(aCase.script()),
                  aCase.pieceBytes,
                  aCase.reading,
                  receiveBuffer });
    std::size_t descriptors = 0;
    crowd.Play([&] {
      descriptors = std::max(descriptors, node.OpenDescriptors());
      peak = std::max(peak, node.PeakKibibytes());
    });
    mostDescriptors = descriptors;
    CheckServed("while the crowd is connected");
  }

  void CheckServed(const char* aWhen)
  {
    BOOST_TEST_CONTEXT(aWhen)
    {
      const bool isAlive = node.IsAlive();
      BOOST_TEST(isAlive);
      const bool isServed =
        isAlive && Crowds::IsServedInTheEnd(node.ClientAddress(), "FETCH warm");
      BOOST_TEST(isServed);
    }
    peak = std::max(peak, node.PeakKibibytes());
  }

  void CheckBounds(std::size_t aDescriptors)
  {
    CheckServed("after the crowd has gone");
    BOOST_TEST_MESSAGE("peak memory " << peak << " KiB, most descriptors "
                                      << mostDescriptors);
    BOOST_TEST(peak <= kMemoryKibibytes);
    BOOST_TEST(mostDescriptors <= aDescriptors);
  }

  Crowds::Cluster cluster;
  Crowds::NodeProcess node;
  std::size_t peak = 0;
  std::size_t mostDescriptors = 0;
};

void
CheckCrowd(const CrowdCase& aCase)
{
  Fixture fixture(0);
  fixture.Play(aCase);
  fixture.CheckBounds(kManyDescriptors);
}

} // namespace

BOOST_DATA_TEST_CASE(ManyLegalMessages, data::make(kLegalMessages), aCase)
{
  CheckCrowd(aCase);
}

BOOST_DATA_TEST_CASE(MessagesOverTheLimit, data::make(kLongMessages), aCase)
{
  CheckCrowd(aCase);
}

BOOST_DATA_TEST_CASE(AnswersThatNobodyReads, data::make(kUnreadAnswers), aCase)
{
  CheckCrowd(aCase);
}

/**
 * Guards against a node that holds more than its VM has, as what databases
 * answer comes faster than the clients take it, or is larger than anything.
 */
BOOST_DATA_TEST_CASE(AnswersOfManyRows, data::make(kLargeAnswers), aCase)
{
  Fixture fixture(0);
  fixture.Play(aCase);
  const Wire::Address& address = fixture.node.ClientAddress();
  BOOST_TEST(Crowds::IsServedInTheEnd(address, "FETCH large"));
  BOOST_TEST(!Crowds::IsServed(address, "FETCH huge"));
  fixture.CheckBounds(kManyDescriptors);
}

BOOST_DATA_TEST_CASE(SlowClients, data::make(kSlowClients), aCase)
{
  CheckCrowd(aCase);
}

BOOST_DATA_TEST_CASE(ClientsThatStop, data::make(kStoppedClients), aCase)
{
  CheckCrowd(aCase);
}

// What the limits must never meet: the longest message, the longest session
// value, and a transaction of twelve statements, sent one by one, with all
// settings at their defaults.
BOOST_AUTO_TEST_CASE(TheLargestLegalClientIsServed)
{
  Crowds::Cluster cluster;
  Crowds::NodeProcess node({ cluster.StoreAddress(), {}, 0 });
  BOOST_REQUIRE(
    Crowds::IsServedInTheEnd(node.ClientAddress(), "STORE warm up"));
  Crowds::Session session(node.ClientAddress());
  BOOST_TEST(session.IsOpen());
  const auto longest = [](const std::string& aText) {
    const std::size_t rest = kMebibyte - kFrameBytes - aText.size();
    return aText + std::string(rest, 'x');
  };
  BOOST_TEST(session.IsServed(longest("SET name ")));
  BOOST_TEST(session.IsServed(longest("STORE a ")));
  BOOST_TEST(session.IsServed(longest("PARSE p FETCH ")));
  BOOST_TEST(session.IsServed("CLOSE p"));
  BOOST_TEST(session.IsServed("BEGIN"));
  for (int i = 0; i < kTransactionStatements; ++i)
    BOOST_TEST(session.IsServed(longest("STORE a ")));
  BOOST_TEST(session.IsServed("COMMIT"));
}

// An eighth of the descriptors stays free.
BOOST_DATA_TEST_CASE(MoreConnectionsThanDescriptors,
                     data::make(kManyConnections),
                     aCase)
{
  Fixture fixture(kFewDescriptors);
  fixture.Play(aCase);
  fixture.CheckBounds(kFewDescriptors * 7 / 8);
}
