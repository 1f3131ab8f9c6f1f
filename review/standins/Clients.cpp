#include "Clients.h"

#include "Words.h"

#include <utility>

namespace Review {

namespace {

constexpr Core::Duration kConnectTimeout = std::chrono::seconds(2);

/** The pause before a client connects again, or asks for work again. */
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(50);

} // namespace

std::string
Reply::ToText() const
{
  if (!error.empty())
    return "ERROR " + error;
  if (isClosed)
    return "closed";
  return "COMPLETE " + signature;
}

ClientSession::ClientSession(Core::Loop& aLoop,
                             const Wire::Address& aNode,
                             const std::string& aDatabase,
                             Handler aHandler)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
  , connection_(std::make_unique<Wire::LineConnection>(aLoop,
                                                       aNode,
                                                       kConnectTimeout,
                                                       *this))
{
  connection_->Write("STARTUP " + aDatabase + " client\r\n");
}

ClientSession::~ClientSession()
{
  Wire::LineConnection::Abandon(std::move(connection_));
}

void
ClientSession::Send(const std::string& aRequestId, const std::string& aText)
{
  if (connection_ != nullptr)
    connection_->Write("QUERY " + aRequestId + ' ' + aText + "\r\n");
}

void
ClientSession::OnLine(std::string_view aLine)
{
  const std::string_view word = Adapter::TakeField(aLine);
  if (word == "DATAROW")
    reply_.rows.emplace_back(aLine);
  else if (word == "COMPLETE")
    reply_.signature = aLine;
  else if (word == "ERROR")
    reply_.error = aLine;
  else if (word == "READY")
    Deliver();
}

void
ClientSession::OnEnd(Wire::LineCloseReason)
{
  Wire::LineConnection::Abandon(std::move(connection_));
  reply_.isClosed = true;
  Deliver();
}

void
ClientSession::Deliver()
{
  // The handler may destroy the session.
  const Handler handler = handler_;
  handler(std::exchange(reply_, {}));
}

StatementClient::StatementClient(Core::Loop& aLoop,
                                 std::string aName,
                                 Wire::Address aNode,
                                 std::string aDatabase,
                                 Core::Duration aPause,
                                 Source aSource,
                                 Sink aSink)
  : loop_(aLoop)
  , name_(std::move(aName))
  , node_(std::move(aNode))
  , database_(std::move(aDatabase))
  , pause_(aPause)
  , source_(std::move(aSource))
  , sink_(std::move(aSink))
{
  Connect();
}

StatementClient::~StatementClient() = default;

void
StatementClient::Connect()
{
  requestId_.clear();
  session_ = std::make_shared<ClientSession>(
    loop_, node_, database_, [this](const Reply& aReply) { OnReply(aReply); });
}

void
StatementClient::OnReply(const Reply& aReply)
{
  if (!requestId_.empty())
    sink_(requestId_, text_, aReply);
  requestId_.clear();
  if (aReply.isClosed) {
    // The session is on the call stack, so a later task destroys it.
    loop_.Defer([session = std::move(session_)] {});
    timer_ = loop_.After(kRetryPause, [this] { Connect(); });
    return;
  }
  timer_ = loop_.After(pause_, [this] { SendNext(); });
}

void
StatementClient::SendNext()
{
  text_ = source_();
  if (text_.empty()) {
    timer_ = loop_.After(kRetryPause, [this] { SendNext(); });
    return;
  }
  requestId_ = name_ + '.' + std::to_string(++count_);
  session_->Send(requestId_, text_);
}

} // namespace Review
