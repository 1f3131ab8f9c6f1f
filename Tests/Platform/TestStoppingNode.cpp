// What a stopping node owes clients that read slowly, and clients of other
// nodes that use its connections, over loopback.
#define BOOST_TEST_MODULE StoppingNode
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "NodeFixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace StandIns;

namespace {

constexpr std::size_t kRowBytes = 1'000'000;
/** Together far more than the system's buffers of one connection hold. */
constexpr int kRows = 10;
constexpr Core::Duration kReadInterval = 100ms;
constexpr std::size_t kBytesPerRead = 300'000;
constexpr Core::Duration kGrace = 9s;

constexpr const char* kFetch = "QUERY q1 FETCH big\r\n";
constexpr const char* kReady = "READY I -\r\n";

/** A client whose link is so slow that an answer takes seconds to arrive. */
class SlowClient
{
public:
  SlowClient(Core::Loop& aLoop, const Wire::Address& aAddress)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    , buffer_(kBytesPerRead)
  {
    const int size = 256 * 1024;
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.port);
    ::inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
    BOOST_REQUIRE(::connect(socket_,
                            reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0);
    reader_ = aLoop.Every(kReadInterval, [this] { Read(); });
  }
  ~SlowClient() { ::close(socket_); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  void Write(const std::string& aText)
  {
    BOOST_REQUIRE(::send(socket_, aText.data(), aText.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(aText.size()));
  }
  bool HasReceived(const std::string& aEnd) const
  {
    return received_.ends_with(aEnd);
  }

  std::size_t Bytes() const { return received_.size(); }
  void StopReading() { reader_.reset(); }

private:
  void Read()
  {
    std::size_t budget = kBytesPerRead;
    ssize_t size = 0;
    do {
      size = ::recv(socket_, buffer_.data(), budget, MSG_DONTWAIT);
      if (size <= 0)
        return;
      received_.append(buffer_.data(), static_cast<std::size_t>(size));
      budget -= static_cast<std::size_t>(size);
    } while (budget > 0);
  }

  int socket_;
  std::vector<char> buffer_;
  std::string received_;
  Core::TimerHandle reader_;
};

struct Fixture : public NodeFixture
{
  Fixture()
  {
    otherSettings =
      "[stop]\ngrace_ms = " + std::to_string(Core::ToMilliseconds(kGrace)) +
      "\n";
    nodes.clear();
    nodes.push_back(StartNode("n1"));
    const std::string value(kRowBytes, 'x');
    for (auto& [id, database] : databases) {
      database->rowsPerRead = kRows;
      database->keepsExecuted = false;
      database->Append({ 1, "big", value });
    }
  }

  std::unique_ptr<SlowClient> OpenSession()
  {
    ConnectUntilServed(0);
    clients.clear();
    auto client = std::make_unique<SlowClient>(loop, nodes[0]->ClientAddress());
    client->Write("STARTUP shop me\r\n");
    BOOST_REQUIRE(RunUntil([&] { return client->HasReceived(kReady); }));
    return client;
  }
};

/** The number of nodes, two of which own the connections to databases. */
constexpr std::size_t kSharingNodes = 3;

/** Nodes that together may open two connections to each database. */
struct SharingFixture : public NodeFixture
{
  SharingFixture()
  {
    maxConnections = 4;
    Configure(2, "shop");
    nodes.push_back(StartNode("n3"));
  }

  /** The loop also stops when a node has stopped. */
  void WaitFor(Core::Duration aTime)
  {
    const Core::Instant end = loop.Now() + aTime;
    while (loop.Now() < end)
      RunUntil([&] { return loop.Now() >= end; });
  }
};

} // namespace

/**
 * Guards against transactions that end with the node which owns the connection,
 * when that node is stopped and the client's isn't.
 */
BOOST_DATA_TEST_CASE_F(SharingFixture,
                       StoppingOwnersLetTransactionsOfOthersEnd,
                       boost::unit_test::data::xrange(kSharingNodes))
{
  WaitFor(kDutyTimeout);
  for (std::size_t node = 0; node < kSharingNodes; ++node)
    ConnectUntilServed(node);
  // All have written, so the third node has used another's connection. One more
  // connection is the duty's.
  BOOST_TEST(databases.at("i-a")->Connections() <= 3);
  Client& client = ConnectUntilServed(sample);
  BOOST_REQUIRE(Query(client, "BEGIN").starts_with("COMPLETE"));
  BOOST_REQUIRE(Query(client, "STORE k v").starts_with("COMPLETE"));
  for (std::size_t node = 0; node < kSharingNodes; ++node) {
    if (node != sample)
      nodes[node]->Stop();
  }
  WaitFor(2500ms);
  BOOST_TEST(Query(client, "STORE k w").starts_with("COMPLETE"));
  BOOST_TEST(Query(client, "COMMIT").starts_with("COMPLETE signed-i-a"));
  WaitFor(kDutyTimeout);
  BOOST_TEST(Query(client, "STORE k x").starts_with("COMPLETE signed-i-a"));
}

/**
 * Guards against answers that end half-way at a planned stop: the session looks
 * idle as soon as the answer is in the node's buffer, long before the client
 * has it.
 */
BOOST_FIXTURE_TEST_CASE(AStoppingNodeDeliversWholeAnswers, Fixture)
{
  const std::unique_ptr<SlowClient> client = OpenSession();
  nodes[0]->Stop();
  const Core::Instant later = loop.Now() + 1s;
  RunUntil([&] { return loop.Now() > later; });
  client->Write(kFetch);
  const auto isComplete = [&] {
    return client->Bytes() > kRows * kRowBytes && client->HasReceived(kReady);
  };
  // The loop also stops when the node has stopped.
  while (!isComplete() && loop.Now() < later + kGrace)
    RunUntil([&] { return isComplete() || loop.Now() > later + kGrace; });
  BOOST_TEST(isComplete());
  BOOST_TEST(client->Bytes() > kRows * kRowBytes);
}

/** A client that never reads its answer can't hold a stop beyond its grace. */
BOOST_FIXTURE_TEST_CASE(AStopEndsAlthoughAClientDoesNotRead, Fixture)
{
  const std::unique_ptr<SlowClient> client = OpenSession();
  client->StopReading();
  client->Write(kFetch);
  const Core::Instant stoppedAt = loop.Now() + 100ms;
  RunUntil([&] { return loop.Now() > stoppedAt; });
  nodes[0]->Stop();
  // The loop stops when the node has stopped.
  RunUntil([] { return false; });
  BOOST_TEST((loop.Now() - stoppedAt < kGrace));
}
