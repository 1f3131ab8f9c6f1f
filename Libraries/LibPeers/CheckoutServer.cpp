#include <LibPeers/CheckoutServer.h>

#include "CheckoutMessages.h"

#include <LibCore/Log.h>

#include <algorithm>
#include <utility>

namespace Peers {

/** The server's end of one checkout channel that another node has opened. */
class CheckoutConnection final
  : public Pooler::CheckoutPort
  , public Wire::LineListener
  , public std::enable_shared_from_this<CheckoutConnection>
{
public:
  CheckoutConnection(Core::Loop& aLoop, CheckoutServer& aServer, int aSocket)
    : server_(aServer)
    , connection_(std::make_unique<Wire::LineConnection>(
        aLoop,
        aSocket,
        static_cast<LineListener&>(*this)))
    , session_(
        std::make_unique<Pooler::CheckoutSession>(aLoop, aServer.host_, *this))
  {
    connection_->SetMaxLineBytes(kMaxCheckoutLineBytes);
  }

  bool IsIdle() const { return session_->IsIdle(); }

  void SendGrant(const Pooler::CheckoutGrant& aGrant) override
  {
    Write(aGrant);
  }
  void SendRefusal(Pooler::CheckoutRefusal aRefusal) override
  {
    Write(aRefusal);
  }
  void SendWaiting() override { Write(CheckoutWaiting{}); }
  void SendReply(const Sql::DatabaseReply& aReply) override { Write(aReply); }

  void Close() override
  {
    Wire::LineConnection::Abandon(std::move(connection_));
    // The session may be on the call stack, so a deferred task destroys it.
    server_.loop_.Defer([&server = server_, weak = weak_from_this()] {
      if (const auto self = weak.lock())
        server.Remove(self);
    });
  }

private:
  void Write(const MessageFromOwner& aMessage)
  {
    if (connection_ != nullptr)
      connection_->Write(EncodeFromOwner(aMessage));
  }

  void OnLine(std::string_view aLine) override
  {
    const auto self = shared_from_this();
    Core::Findings findings;
    auto message = DecodeToOwner(aLine, findings);
    if (!message) {
      Core::LogChange("checkout_message_unreadable",
                      { { "findings", findings.ToText() } });
      Close();
      return;
    }
    std::visit([this](auto& aBody) { Dispatch(std::move(aBody)); }, *message);
  }

  void OnEnd(Wire::LineCloseReason) override { Close(); }

  void Dispatch(Pooler::CheckoutRequest aRequest)
  {
    session_->OnRequest(std::move(aRequest));
  }
  void Dispatch(const Sql::DatabaseCommand& aCommand)
  {
    session_->OnCommand(aCommand);
  }
  void Dispatch(const Pooler::CheckoutReturn& aReturn)
  {
    session_->OnReturn(aReturn);
  }

  CheckoutServer& server_;
  std::unique_ptr<Wire::LineConnection> connection_;
  std::unique_ptr<Pooler::CheckoutSession> session_;
};

CheckoutServer::CheckoutServer(Core::Loop& aLoop, Pooler::CheckoutHost& aHost)
  : loop_(aLoop)
  , host_(aHost)
  , server_(aLoop, [this](int aSocket) {
    connections_.insert(
      std::make_shared<CheckoutConnection>(loop_, *this, aSocket));
  })
{
}

CheckoutServer::~CheckoutServer() = default;

std::optional<Wire::Address>
CheckoutServer::Listen(const Wire::Address& aAddress, Core::LastReason& aReason)
{
  return server_.Listen(aAddress, aReason);
}

std::size_t
CheckoutServer::ActiveChannels() const
{
  return static_cast<std::size_t>(std::count_if(
    connections_.begin(), connections_.end(), [](const auto& aConnection) {
      return !aConnection->IsIdle();
    }));
}

void
CheckoutServer::Remove(const std::shared_ptr<CheckoutConnection>& aConnection)
{
  connections_.erase(aConnection);
}

} // namespace Peers
