#include <LibPeers/CheckoutClient.h>

#include "CheckoutMessages.h"

#include <LibCore/Log.h>
#include <LibWire/LineConnection.h>

#include <utility>

namespace Peers {

namespace {

/**
 * The round trip to another node takes a few milliseconds. An unreachable node
 * never responds.
 */
constexpr Core::Duration kConnectTimeout = std::chrono::milliseconds(250);

/** A checkout channel to the node that owns the connections. */
class Channel final
  : public Pooler::CheckoutChannel
  , public Wire::LineListener
{
public:
  Channel(Core::Loop& aLoop,
          const Wire::Address& aAddress,
          Pooler::CheckoutListener& aListener)
    : listener_(aListener)
    , connection_(std::make_unique<Wire::LineConnection>(
        aLoop,
        aAddress,
        kConnectTimeout,
        static_cast<LineListener&>(*this)))
  {
    connection_->SetMaxLineBytes(kMaxCheckoutLineBytes);
  }
  ~Channel() override { Wire::LineConnection::Abandon(std::move(connection_)); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void SendRequest(const Pooler::CheckoutRequest& aRequest) override
  {
    Write(aRequest);
  }
  void SendCommand(const Sql::DatabaseCommand& aCommand) override
  {
    Write(aCommand);
  }
  void SendReturn(const Pooler::CheckoutReturn& aReturn) override
  {
    Write(aReturn);
  }

private:
  void Write(const MessageToOwner& aMessage)
  {
    if (connection_ != nullptr)
      connection_->Write(EncodeToOwner(aMessage));
  }

  void OnLine(std::string_view aLine) override
  {
    Core::Findings findings;
    auto message = DecodeFromOwner(aLine, findings);
    if (!message) {
      Core::LogChange("checkout_message_unreadable",
                      { { "findings", findings.ToText() } });
      OnEnd(Wire::LineCloseReason::Closed);
      return;
    }
    std::visit([this](auto& aBody) { Dispatch(std::move(aBody)); }, *message);
  }

  void OnEnd(Wire::LineCloseReason) override
  {
    Wire::LineConnection::Abandon(std::move(connection_));
    listener_.OnClosed();
  }

  void Dispatch(const Pooler::CheckoutGrant& aGrant)
  {
    listener_.OnGrant(aGrant);
  }
  void Dispatch(Pooler::CheckoutRefusal aRefusal)
  {
    listener_.OnRefusal(aRefusal);
  }
  void Dispatch(CheckoutWaiting) { listener_.OnWaiting(); }
  void Dispatch(Sql::DatabaseReply aReply)
  {
    listener_.OnReply(std::move(aReply));
  }

  Pooler::CheckoutListener& listener_;
  std::unique_ptr<Wire::LineConnection> connection_;
};

} // namespace

std::unique_ptr<Pooler::CheckoutChannel>
CheckoutClient::Open(const Wire::Address& aAddress,
                     Pooler::CheckoutListener& aListener)
{
  return std::make_unique<Channel>(loop_, aAddress, aListener);
}

} // namespace Peers
