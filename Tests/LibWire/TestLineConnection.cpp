// Lines must arrive whole and in order, however the bytes are cut, also while
// reading pauses now and then; a line without an end must end the connection.
#define BOOST_TEST_MODULE LineConnection
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibCore/Random.h>
#include <LibWire/LineConnection.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxLine = 2000;
constexpr int kLines = 60;

struct Fixture : public Wire::LineListener
{
  Fixture()
  {
    BOOST_REQUIRE(
      ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) ==
      0);
    connection =
      std::make_unique<Wire::LineConnection>(loop, sockets[0], *this);
    connection->SetMaxLineBytes(kMaxLine);
  }
  ~Fixture() override { ::close(sockets[1]); }

  void OnLine(std::string_view aLine) override
  {
    lines.emplace_back(aLine);
    if (lines.size() % 7 != 0)
      return;
    connection->SetReading(false);
    loop.DeferFor(1ms, [this] { connection->SetReading(true); });
  }
  void OnEnd(Wire::LineCloseReason aReason) override
  {
    reason = aReason;
    hasEnded = true;
    loop.Stop();
  }

  /** Sends aText in pieces of random sizes, then ends the stream. */
  void Send(const std::string& aText, Core::Random& aRandom)
  {
    std::size_t sent = 0;
    const auto sender = loop.Every(1ms, [&] {
      const std::size_t piece = 1 + aRandom.Below(3 * kMaxLine);
      const ssize_t size = ::send(sockets[1],
                                  aText.data() + sent,
                                  std::min(piece, aText.size() - sent),
                                  MSG_NOSIGNAL);
      if (size > 0)
        sent += static_cast<std::size_t>(size);
      if (sent == aText.size())
        ::shutdown(sockets[1], SHUT_WR);
    });
    const auto limit = loop.After(10s, [this] { loop.Stop(); });
    loop.Run();
  }

  Core::Loop loop;
  std::array<int, 2> sockets{};
  std::unique_ptr<Wire::LineConnection> connection;
  std::vector<std::string> lines;
  Wire::LineCloseReason reason = Wire::LineCloseReason::Closed;
  bool hasEnded = false;
};

/** A line of bytes among which CR and LF are frequent, but never CR LF. */
std::string
RandomLine(Core::Random& aRandom)
{
  std::string line;
  const std::size_t size = aRandom.Below(kMaxLine);
  for (std::size_t i = 0; i < size; ++i) {
    const char next = "\r\nab"[aRandom.Below(4)];
    const bool isEnd = next == '\n' && !line.empty() && line.back() == '\r';
    line += isEnd ? 'c' : next;
  }
  if (!line.empty() && line.back() == '\r')
    line.back() = 'd';
  return line;
}

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture,
                       LinesArriveWholeAndInOrder,
                       data::xrange(20),
                       aSeed)
{
  Core::Random random(static_cast<std::uint64_t>(aSeed));
  std::vector<std::string> sent;
  std::string text;
  for (int i = 0; i < kLines; ++i) {
    sent.push_back(RandomLine(random));
    text += sent.back() + "\r\n";
  }
  Send(text, random);
  BOOST_TEST(lines == sent, boost::test_tools::per_element());
  BOOST_TEST(hasEnded);
}

BOOST_DATA_TEST_CASE_F(Fixture,
                       ALineWithoutAnEndEndsTheConnection,
                       data::xrange(5),
                       aSeed)
{
  Core::Random random(static_cast<std::uint64_t>(aSeed));
  Send(std::string(20 * kMaxLine, '\r'), random);
  BOOST_TEST(lines.empty());
  BOOST_TEST(hasEnded);
  BOOST_TEST((reason == Wire::LineCloseReason::LineTooLong));
}

/** How a peer reads what is left to write when a connection closes. */
struct SlowPeerCase
{
  const char* name;
  std::size_t bytesPerRead;
  bool receivesAll;
};

std::ostream&
operator<<(std::ostream& aStream, const SlowPeerCase& aCase)
{
  return aStream << aCase.name;
}

const SlowPeerCase kSlowPeers[] = {
  { "it reads for longer than the linger time", 100'000, true },
  { "it doesn't read", 0, false },
};

/**
 * Guards against replies that are cut off because their connection closes while
 * they are being delivered. A peer that doesn't read can't hold it open.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AClosingConnectionDeliversWhatItHasWritten,
                       data::make(kSlowPeers))
{
  constexpr std::size_t kSize = 3'000'000;
  constexpr Core::Duration kReadInterval = 50ms;
  connection->Write(std::string(kSize, 'x'));
  bool isClosed = false;
  Wire::LineConnection::CloseAfterWriting(
    std::move(connection),
    std::shared_ptr<void>(nullptr, [&isClosed](void*) { isClosed = true; }));
  std::vector<char> buffer(kSize);
  std::size_t received = 0;
  const auto reader = loop.Every(kReadInterval, [&] {
    const ssize_t size =
      ::recv(sockets[1], buffer.data(), sample.bytesPerRead, 0);
    if (size > 0)
      received += static_cast<std::size_t>(size);
    const bool isRead = size == 0 && sample.bytesPerRead > 0;
    if (isRead || (isClosed && sample.bytesPerRead == 0))
      loop.Stop();
  });
  const auto limit = loop.After(10s, [this] { loop.Stop(); });
  loop.Run();
  BOOST_TEST((received == kSize) == sample.receivesAll);
  BOOST_TEST((isClosed || sample.receivesAll));
}
