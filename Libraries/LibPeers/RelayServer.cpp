#include <LibPeers/RelayServer.h>

#include <LibCore/Log.h>

#include <utility>

namespace Peers {

namespace {

constexpr std::string_view kRequestPrefix = "RELAY ";

/** The requesting node's own connect timeout ends shortly after this. */
constexpr Core::Duration kConnectTimeout = std::chrono::milliseconds(250);

/**
 * Above this number of concurrent relays, each new one is logged. The databases
 * of a fleet allow fewer connections at once.
 */
constexpr std::size_t kRelayWarningCount = 512;

} // namespace

std::string
RelayRequest(const std::string& aDatabase)
{
  return std::string(kRequestPrefix) + aDatabase + "\r\n";
}

/** Forwards lines between a requesting node and a database, both ways. */
class Relay final : public std::enable_shared_from_this<Relay>
{
public:
  Relay(Core::Loop& aLoop, RelayServer& aServer, int aSocket)
    : loop_(aLoop)
    , server_(aServer)
    , requester_(*this, true)
    , database_(*this, false)
  {
    requester_.connection =
      std::make_unique<Wire::LineConnection>(aLoop, aSocket, requester_);
  }

private:
  /** The connection to the requesting node or to the database. */
  struct End final : public Wire::LineListener
  {
    End(Relay& aRelay, bool aIsRequester)
      : relay(aRelay)
      , isRequester(aIsRequester)
    {
    }
    void OnLine(std::string_view aLine) override
    {
      relay.OnLine(isRequester, aLine);
    }
    void OnEnd(Wire::LineCloseReason) override { relay.Finish(); }

    Relay& relay;
    bool isRequester;
    std::unique_ptr<Wire::LineConnection> connection;
  };

  void OnLine(bool aIsRequester, std::string_view aLine)
  {
    const auto self = shared_from_this();
    if (aIsRequester && database_.connection == nullptr) {
      Connect(aLine);
      return;
    }
    End& other = aIsRequester ? database_ : requester_;
    if (other.connection == nullptr)
      return;
    other.connection->Write(std::string(aLine) + "\r\n");
  }

  /**
   * Connects to the database that the first line names. Closes the relay if the
   * line is malformed or this node doesn't know the database.
   */
  void Connect(std::string_view aLine)
  {
    const bool isRequest =
      aLine.substr(0, kRequestPrefix.size()) == kRequestPrefix;
    const std::string database(isRequest ? aLine.substr(kRequestPrefix.size())
                                         : std::string_view{});
    const auto address = server_.lookup_(database);
    if (!address) {
      Core::LogChange("relay_refused", { { "database", database } });
      Finish();
      return;
    }
    Core::LogChange("relay_opened", { { "database", database } });
    database_.connection = std::make_unique<Wire::LineConnection>(
      loop_, *address, kConnectTimeout, database_);
  }

  void Finish()
  {
    const auto self = shared_from_this();
    Wire::LineConnection::Abandon(std::move(requester_.connection));
    Wire::LineConnection::Abandon(std::move(database_.connection));
    server_.Remove(self);
  }

  Core::Loop& loop_;
  RelayServer& server_;
  End requester_;
  End database_;
};

RelayServer::RelayServer(Core::Loop& aLoop, Lookup aLookup)
  : loop_(aLoop)
  , lookup_(std::move(aLookup))
  , server_(aLoop, [this](int aSocket) {
    auto relay = std::make_shared<Relay>(loop_, *this, aSocket);
    relays_.insert(relay);
    if (relays_.size() > kRelayWarningCount)
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
