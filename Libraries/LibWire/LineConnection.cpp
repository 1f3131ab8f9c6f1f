#include <LibWire/LineConnection.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace Wire {

namespace {

constexpr std::size_t kDefaultMaxLineBytes = 1024UL * 1024;

/** Reading pauses while the write buffer holds more than this. */
constexpr std::size_t kMaxWriteBacklogBytes = 256UL * 1024;

/** How long a closing connection stays open without its peer reading. */
constexpr Core::Duration kLingerTimeout = std::chrono::milliseconds(500);

/** How long a closing connection stays open for a peer that reads slowly. */
constexpr Core::Duration kMaxLinger = std::chrono::seconds(10);

/** TCP_USER_TIMEOUT: unacknowledged bytes abort the connection after this. */
constexpr unsigned kUserTimeoutMilliseconds = 3000;

constexpr int kAcceptBacklog = 1024;

/** Accepting pauses for this long after a failed accept. */
constexpr Core::Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

void
SetSocketOptions(int aSocket)
{
  const int on = 1;
  // Failures are ignored: a socket without these options works, but slower.
  (void)setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  (void)setsockopt(aSocket,
                   IPPROTO_TCP,
                   TCP_USER_TIMEOUT,
                   &kUserTimeoutMilliseconds,
                   sizeof kUserTimeoutMilliseconds);
}

sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &result.sin_addr);
  return result;
}

} // namespace

LineConnection::LineConnection(Core::Loop& aLoop,
                               int aSocket,
                               LineListener& aListener)
  : loop_(aLoop)
  , listener_(&aListener)
  , events_(
      bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
  , maxLineBytes_(kDefaultMaxLineBytes)
  , isConnected_(true)
{
  SetSocketOptions(aSocket);
  Attach();
}

LineConnection::LineConnection(Core::Loop& aLoop,
                               const Address& aAddress,
                               Core::Duration aTimeout,
                               LineListener& aListener)
  : loop_(aLoop)
  , listener_(&aListener)
  // Deferred callbacks: a connect that fails immediately must not invoke the
  // listener from the constructor.
  , events_(
      bufferevent_socket_new(aLoop.Base(),
                             -1,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
  , maxLineBytes_(kDefaultMaxLineBytes)
{
  Attach();
  connectTimer_ = loop_.After(
    aTimeout, [this] { listener_->OnEnd(LineCloseReason::ConnectTimedOut); });
  sockaddr_in address = ToSocketAddress(aAddress);
  // Failures are also reported through the event callback.
  (void)bufferevent_socket_connect(
    events_, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (const int socket = bufferevent_getfd(events_); socket >= 0)
    SetSocketOptions(socket);
}

LineConnection::~LineConnection()
{
  *alive_ = false;
  bufferevent_free(events_);
}

void
LineConnection::Attach()
{
  bufferevent_setcb(
    events_,
    [](bufferevent*, void* aSelf) {
      static_cast<LineConnection*>(aSelf)->ReadLines();
    },
    [](bufferevent*, void* aSelf) {
      static_cast<LineConnection*>(aSelf)->OnDrained();
    },
    [](bufferevent*, short aWhat, void* aSelf) {
      static_cast<LineConnection*>(aSelf)->OnEvent(aWhat);
    },
    this);
  bufferevent_enable(events_, EV_READ | EV_WRITE);
}

void
LineConnection::OnDrained()
{
  if (IsLingering()) {
    ShutDownWriting();
    return;
  }
  ++drains_;
  const std::shared_ptr<bool> alive = alive_;
  listener_->OnBuffers();
  if (!*alive || IsLingering() || !isReadPaused_)
    return;
  isReadPaused_ = false;
  ReadLines();
}

bool
LineConnection::MustPauseReading()
{
  const bool isBacklogged = UnsentBytes() > kMaxWriteBacklogBytes;
  if (isReading_ && !isBacklogged)
    return false;
  isReadPaused_ = isReadPaused_ || isBacklogged;
  bufferevent_disable(events_, EV_READ);
  return true;
}

std::optional<std::string>
LineConnection::TakeLine()
{
  evbuffer* input = bufferevent_get_input(events_);
  evbuffer_ptr begin{};
  evbuffer_ptr_set(input, &begin, searchedBytes_, EVBUFFER_PTR_SET);
  std::size_t endBytes = 0;
  const evbuffer_ptr end =
    evbuffer_search_eol(input, &begin, &endBytes, EVBUFFER_EOL_CRLF_STRICT);
  if (end.pos < 0) {
    // The last byte may be the first one of a line end.
    searchedBytes_ = std::max<std::size_t>(evbuffer_get_length(input), 1) - 1;
    return std::nullopt;
  }
  searchedBytes_ = 0;
  std::string line(static_cast<std::size_t>(end.pos), '\0');
  evbuffer_remove(input, line.data(), line.size());
  evbuffer_drain(input, endBytes);
  ++lines_;
  lineBytes_ += line.size() + endBytes;
  return line;
}

void
LineConnection::SetReading(bool aIsReading)
{
  if (isReading_ == aIsReading)
    return;
  isReading_ = aIsReading;
  if (!aIsReading)
    return;
  // The caller may be in the middle of a line's handling.
  loop_.Defer([this, alive = alive_] {
    if (*alive && !IsLingering() && isReading_)
      ReadLines();
  });
}

std::size_t
LineConnection::BufferedBytes() const
{
  return evbuffer_get_length(bufferevent_get_input(events_)) + UnsentBytes();
}

std::size_t
LineConnection::UnsentBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(events_));
}

Progress
LineConnection::ReadProgress() const
{
  const std::size_t held = evbuffer_get_length(bufferevent_get_input(events_));
  // While this side has paused reading, the peer isn't late.
  const bool mayRead = isReading_ && !isReadPaused_;
  return { mayRead && held > 0, lineBytes_ + held, lines_ };
}

Progress
LineConnection::WriteProgress() const
{
  const std::size_t unsent = UnsentBytes();
  return { unsent > 0, writtenBytes_ - unsent, drains_ };
}

std::string
LineConnection::PeerText() const
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getpeername(bufferevent_getfd(events_),
                  reinterpret_cast<sockaddr*>(&address),
                  &size) != 0)
    return {};
  std::array<char, INET_ADDRSTRLEN> host{};
  inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
  return Address{ host.data(), ntohs(address.sin_port) }.ToText();
}

void
LineConnection::ReadLines()
{
  evbuffer* input = bufferevent_get_input(events_);
  if (IsLingering()) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  const std::shared_ptr<bool> alive = alive_;
  for (;;) {
    if (MustPauseReading())
      return;
    const std::optional<std::string> line = TakeLine();
    if (!line)
      break;
    if (line->size() > maxLineBytes_) {
      listener_->OnEnd(LineCloseReason::LineTooLong);
      return;
    }
    listener_->OnLine(*line);
    if (!*alive || IsLingering())
      return;
  }
  if (evbuffer_get_length(input) > maxLineBytes_) {
    listener_->OnEnd(LineCloseReason::LineTooLong);
    return;
  }
  bufferevent_enable(events_, EV_READ);
  listener_->OnBuffers();
}

void
LineConnection::OnEvent(short aWhat)
{
  if (IsLingering()) {
    // The peer has closed; the socket is closed after kLingerTimeout.
    bufferevent_disable(events_, EV_READ | EV_WRITE);
    return;
  }
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    isConnected_ = true;
    connectTimer_.reset();
    if (const int socket = bufferevent_getfd(events_); socket >= 0)
      SetSocketOptions(socket);
    listener_->OnConnected();
    return;
  }
  const bool isRefused = !isConnected_ && errno == ECONNREFUSED;
  connectTimer_.reset();
  listener_->OnEnd(isRefused ? LineCloseReason::Refused
                             : LineCloseReason::Closed);
}

void
LineConnection::Write(std::string_view aBytes)
{
  writtenBytes_ += aBytes.size();
  bufferevent_write(events_, aBytes.data(), aBytes.size());
}

void
LineConnection::ShutDownWriting()
{
  // Everything is written. Half-close, so that the peer reads the end of the
  // stream and closes its side.
  shutdown(bufferevent_getfd(events_), SHUT_WR);
}

void
LineConnection::CloseAfterWriting(std::unique_ptr<LineConnection> aConnection,
                                  const std::shared_ptr<void>& aCompanion)
{
  const std::shared_ptr<LineConnection> connection(std::move(aConnection));
  connection->listener_ = nullptr;
  connection->connectTimer_.reset();
  evbuffer* input = bufferevent_get_input(connection->events_);
  evbuffer_drain(input, evbuffer_get_length(input));
  bufferevent_enable(connection->events_, EV_READ | EV_WRITE);
  if (connection->UnsentBytes() == 0)
    connection->ShutDownWriting();
  Linger(connection, aCompanion, connection->loop_.Now() + kMaxLinger);
}

void
LineConnection::Linger(const std::shared_ptr<LineConnection>& aConnection,
                       const std::shared_ptr<void>& aCompanion,
                       Core::Instant aDeadline)
{
  const std::size_t unsent = aConnection->UnsentBytes();
  aConnection->loop_.DeferFor(
    kLingerTimeout, [connection = aConnection, aCompanion, aDeadline, unsent] {
      const bool hasProgress = connection->UnsentBytes() < unsent;
      if (hasProgress && connection->loop_.Now() < aDeadline)
        Linger(connection, aCompanion, aDeadline);
    });
}

void
LineConnection::Abandon(std::unique_ptr<LineConnection> aConnection)
{
  if (aConnection == nullptr)
    return;
  const std::shared_ptr<LineConnection> connection(std::move(aConnection));
  connection->listener_ = nullptr;
  connection->connectTimer_.reset();
  bufferevent_disable(connection->events_, EV_READ | EV_WRITE);
  connection->loop_.Defer([connection] {});
}

LineServer::LineServer(Core::Loop& aLoop, AcceptHandler aHandler)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
{
}

LineServer::~LineServer()
{
  Close();
}

std::optional<Address>
LineServer::Listen(const Address& aAddress, Core::LastReason& aReason)
{
  sockaddr_in address = ToSocketAddress(aAddress);
  listener_ = evconnlistener_new_bind(
    loop_.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<LineServer*>(aSelf)->handler_(aSocket);
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
    kAcceptBacklog,
    reinterpret_cast<sockaddr*>(&address),
    sizeof address);
  if (listener_ == nullptr)
    return aReason.Set("can't listen on " + aAddress.ToText() + ": " +
                       std::strerror(errno));
  evconnlistener_set_error_cb(listener_, [](evconnlistener*, void* aSelf) {
    static_cast<LineServer*>(aSelf)->OnAcceptFailure();
  });
  socklen_t size = sizeof address;
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address),
              &size);
  return Address{ aAddress.host, ntohs(address.sin_port) };
}

void
LineServer::Close()
{
  if (listener_ != nullptr)
    evconnlistener_free(std::exchange(listener_, nullptr));
}

void
LineServer::Pause()
{
  isPaused_ = true;
  if (listener_ != nullptr)
    evconnlistener_disable(listener_);
}

void
LineServer::Resume()
{
  isPaused_ = false;
  if (listener_ != nullptr)
    evconnlistener_enable(listener_);
}

void
LineServer::OnAcceptFailure()
{
  evconnlistener_disable(listener_);
  retryTimer_ = loop_.After(kAcceptRetryDelay, [this] {
    if (!isPaused_)
      Resume();
  });
}

} // namespace Wire
