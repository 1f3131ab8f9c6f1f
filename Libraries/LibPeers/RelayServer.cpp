#include <LibPeers/RelayServer.h>

#include <LibCore/Log.h>

#include <utility>

namespace Peers {

namespace {

constexpr std::string_view kRequestWord = "RELAY ";

/** The other node gives up soon after this. */
constexpr Core::Duration kConnectTimeout = std::chrono::milliseconds(250);

/** More connections at once than a fleet's databases allow. */
constexpr std::size_t kMaxRelays = 512;

} // namespace

std::string
RelayRequest(const std::string& aDatabase)
{
  return std::string(kRequestWord) + aDatabase + "\r\n";
}

/** One connection that is passed on, line by line. */
class Relay final : public std::enable_shared_from_this<Relay>
{
public:
  Relay(Core::Loop& aLoop, RelayServer& aServer, int aSocket)
    : loop_(aLoop)
    , server_(aServer)
    , near_(*this, true)
    , far_(*this, false)
  {
    near_.connection =
      std::make_unique<Wire::LineConnection>(aLoop, aSocket, near_);
  }

private:
  /** One of the two ends. */
  struct End final : public Wire::LineListener
  {
    End(Relay& aRelay, bool aIsNear)
      : relay(aRelay)
      , isNear(aIsNear)
    {
    }
    void OnLine(std::string_view aLine) override
    {
      relay.OnLine(isNear, aLine);
    }
    void OnEnd(Wire::LineEnd) override { relay.Finish(); }

    Relay& relay;
    bool isNear;
    std::unique_ptr<Wire::LineConnection> connection;
  };

  void OnLine(bool aIsNear, std::string_view aLine)
  {
    const auto self = shared_from_this();
    if (aIsNear && far_.connection == nullptr) {
      Connect(aLine);
      return;
    }
    End& other = aIsNear ? far_ : near_;
    if (other.connection == nullptr)
      return;
    other.connection->Write(std::string(aLine) + "\r\n");
  }

  void Connect(std::string_view aLine)
  {
    const bool isRequest = aLine.substr(0, kRequestWord.size()) == kRequestWord;
    const std::string database(isRequest ? aLine.substr(kRequestWord.size())
                                         : std::string_view{});
    const auto address = server_.lookup_(database);
    if (!address) {
      Core::LogChange("relay_refused", { { "database", database } });
      Finish();
      return;
    }
    Core::LogChange("relay_opened", { { "database", database } });
    far_.connection = std::make_unique<Wire::LineConnection>(
      loop_, *address, kConnectTimeout, far_);
  }

  void Finish()
  {
    const auto self = shared_from_this();
    Wire::LineConnection::Abandon(std::move(near_.connection));
    Wire::LineConnection::Abandon(std::move(far_.connection));
    server_.Remove(self);
  }

  Core::Loop& loop_;
  RelayServer& server_;
  End near_;
  End far_;
};

RelayServer::RelayServer(Core::Loop& aLoop, Lookup aLookup)
  : loop_(aLoop)
  , lookup_(std::move(aLookup))
  , server_(aLoop, [this](int aSocket) {
    auto relay = std::make_shared<Relay>(loop_, *this, aSocket);
    relays_.insert(relay);
    if (relays_.size() > kMaxRelays)
      Core::LogChange("relays_many", { { "count", relays_.size() } });
  })
{
}

RelayServer::~RelayServer() = default;

std::optional<Wire::Address>
RelayServer::Listen(const Wire::Address& aAddress, Core::LastReason& aReason)
{
  return server_.Listen(aAddress, aReason);
}

void
RelayServer::Remove(const std::shared_ptr<Relay>& aRelay)
{
  relays_.erase(aRelay);
}

} // namespace Peers
