#define BOOST_TEST_MODULE SharedLink
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "NodeFixture.h"

#include <LibCore/Hash.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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
  /** Its machine accepts connections, but the process answers nothing. */
  Frozen,
  /** The same, but it froze when a part of its answer was sent. */
  FrozenInAnAnswer,
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
  { "frozen", ReaderFault::Frozen },
  { "frozen in an answer", ReaderFault::FrozenInAnAnswer },
};

/** The first part of an answer that is far longer. */
const std::string kPartOfAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kResponseBytes) +
  "\r\n\r\n" + std::string(1000, 'x');

/**
 * Listens on an address; the system accepts connections, nobody answers. With a
 * loop, each connection receives the first part of an answer.
 */
class SilentListener
{
public:
  explicit SilentListener(const Wire::Address& aAddress,
                          Core::Loop* aLoop = nullptr)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.port);
    ::inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
    BOOST_REQUIRE(::bind(socket_,
                         reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0);
    BOOST_REQUIRE(::listen(socket_, SOMAXCONN) == 0);
    if (aLoop != nullptr)
      timer_ = aLoop->Every(5ms, [this] { AcceptOne(); });
  }
  ~SilentListener()
  {
    for (const int client : clients_)
      ::close(client);
    ::close(socket_);
  }
  std::size_t Answers() const { return clients_.size(); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

private:
  void AcceptOne()
  {
    const int client = ::accept(socket_, nullptr, nullptr);
    if (client < 0)
      return;
    clients_.push_back(client);
    (void)::send(
      client, kPartOfAnswer.data(), kPartOfAnswer.size(), MSG_NOSIGNAL);
  }

  int socket_;
  std::vector<int> clients_;
  Core::TimerHandle timer_;
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

  /** The address at which the reader serves peers, by its row in the store. */
  Wire::Address ReadersAddress() const
  {
    const std::string name = NameOf(reader - firstRemote);
    for (const std::string& text :
         store.Values(Adapter::StoreClient::kOwnTable)) {
      const boost::json::value row = boost::json::parse(text);
      const auto* other = row.as_object().if_contains("name");
      if (other == nullptr || other->as_string() != name)
        continue;
      Core::LastReason reason;
      const auto address =
        Wire::Address::Parse(row.at("address").as_string(), reason);
      BOOST_REQUIRE_MESSAGE(address, reason.Text());
      return *address;
    }
    BOOST_FAIL("the reader isn't registered");
    return {};
  }

  void FailReader(ReaderFault aFault)
  {
    const Wire::Address address = ReadersAddress();
    if (aFault != ReaderFault::CutFromStore)
      nodes[reader].reset();
    readerLink.reset();
    if (aFault == ReaderFault::Frozen)
      silentReader = std::make_unique<SilentListener>(address);
    if (aFault == ReaderFault::FrozenInAnAnswer)
      silentReader = std::make_unique<SilentListener>(address, &loop);
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
  std::unique_ptr<SilentListener> silentReader;
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
 * although it has ended, is frozen or doesn't reach the store.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AConfigurationIsInForceAlthoughTheReaderFails,
                       boost::unit_test::data::make(kReaderCases))
{
  FailReader(sample.fault);
  Configure(2, "market");
  CheckInForce("market", loop.Now());
  BOOST_TEST((sample.fault != ReaderFault::FrozenInAnAnswer ||
              silentReader->Answers() > 0));
}

BOOST_AUTO_TEST_SUITE_END()
