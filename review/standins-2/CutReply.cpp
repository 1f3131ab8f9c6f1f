// A machine is stopped with SIGTERM while a client on a slow link is still
// reading the answer to its statement.

#include "World.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace Review {

namespace {

constexpr long long kOpenAt = 4000;
constexpr long long kStopAt = 6000;
/** The statement is sent this long after the SIGTERM. */
constexpr long long kSendDelay = 1900;
constexpr long long kEndAt = 13000;

/** One message: less than the 1 MiB that a message may have. */
constexpr std::size_t kRowBytes = 1'000'000;

/** Two clients share a machine's smallest link, 10 Mbit/s. */
constexpr std::size_t kClients = 2;
constexpr Core::Duration kReadInterval = std::chrono::milliseconds(10);
constexpr std::size_t kBytesPerInterval = 12'500 / kClients;
constexpr int kReceiveBuffer = 16 * 1024;
constexpr int kSegmentBytes = 1448;

/** A client that gets its part of the link. */
class SlowClient
{
public:
  SlowClient(World& aWorld, const Wire::Address& aNode)
    : world_(aWorld)
    , socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    setsockopt(
      socket_, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    // The segments of an ordinary network, instead of loopback's.
    setsockopt(
      socket_, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aNode.port);
    inet_pton(AF_INET, aNode.host.c_str(), &address.sin_addr);
    isOpen_ = ::connect(socket_,
                        reinterpret_cast<sockaddr*>(&address),
                        sizeof address) == 0;
    Write("STARTUP sheets review\r\n");
    timer_ = world_.loop.Every(kReadInterval, [this] { Read(); });
  }
  ~SlowClient() { ::close(socket_); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  void Send(const std::string& aText)
  {
    world_.record.Add("sent " + aText);
    input_.clear();
    isWaiting_ = true;
    Write("QUERY " + aText + "\r\n");
  }

  bool IsOpen() const { return isOpen_; }
  bool IsAnswered() const { return isAnswered_; }
  bool IsWaiting() const { return isWaiting_; }
  std::size_t Received() const { return input_.size(); }

private:
  void Write(const std::string& aBytes)
  {
    (void)::send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  void Read()
  {
    if (!isOpen_)
      return;
    char bytes[kBytesPerInterval];
    const ssize_t count = ::recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0) {
      input_.append(bytes, static_cast<std::size_t>(count));
      const bool isComplete = isWaiting_ &&
                              input_.find("COMPLETE ") != std::string::npos &&
                              input_.find("\r\nREADY I") != std::string::npos;
      if (!isComplete)
        return;
      isWaiting_ = false;
      isAnswered_ = true;
      world_.record.Add("answered in full, " + std::to_string(input_.size()) +
                        " bytes");
      return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    isOpen_ = false;
    world_.record.Add("the connection ends" +
                      (isWaiting_ ? " after " + std::to_string(input_.size()) +
                                      " bytes of the answer"
                                  : std::string()));
  }

  World& world_;
  int socket_;
  Core::TimerHandle timer_;
  bool isOpen_ = false;
  bool isWaiting_ = false;
  bool isAnswered_ = false;
  std::string input_;
};

} // namespace

void
CutReply(World& aWorld)
{
  for (const auto& database : aWorld.group.Databases())
    database->Load({ 1, "loaded", "big", std::string(kRowBytes, 'x') });
  aWorld.group.onRead = [&aWorld](const Database& aDatabase,
                                  const std::string& aId) {
    aWorld.record.Add("run: " + aId + " at " + aDatabase.Id());
  };
  using Clients = std::vector<std::unique_ptr<SlowClient>>;
  const auto clients = std::make_shared<Clients>();
  aWorld.At(kOpenAt, [&aWorld, clients] {
    for (std::size_t i = 0; i < kClients; ++i)
      clients->push_back(
        std::make_unique<SlowClient>(aWorld, aWorld.nodes[0]->Clients()));
  });
  aWorld.At(kStopAt, [&aWorld] {
    if (!HasTrouble())
      return;
    aWorld.record.Add("SIGTERM to " + aWorld.nodes[0]->Name());
    aWorld.nodes[0]->Signal(SIGTERM);
  });
  aWorld.At(kStopAt + kSendDelay, [&aWorld, clients] {
    for (const auto& client : *clients)
      client->Send(aWorld.NextId() + " FETCH big");
  });
  aWorld.At(kEndAt, [&aWorld, clients] {
    std::size_t answered = 0;
    std::size_t cut = 0;
    for (const auto& client : *clients) {
      answered += client->IsAnswered() ? 1 : 0;
      // An answer had begun, so the database has run the statement.
      cut += !client->IsOpen() && client->IsWaiting() && client->Received() > 0
               ? 1
               : 0;
    }
    const std::string counts = std::to_string(answered) +
                               " statements got their whole answer, " +
                               std::to_string(cut) + " a part of it";
    if (cut > 0)
      aWorld.Done(1, counts);
    else
      aWorld.Done(answered == kClients ? 0 : 2, counts);
  });
}

} // namespace Review
