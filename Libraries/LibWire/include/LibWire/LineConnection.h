#pragma once

#include <LibCore/Loop.h>
#include <LibWire/Address.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;
struct evconnlistener;

namespace Wire {

/** Why a line connection ended. */
enum class LineCloseReason
{
  /** The peer closed the connection, or it failed. */
  Closed,
  /** The peer machine refused it: no process listens at the address. */
  Refused,
  /** The connection was not established within the timeout. */
  ConnectTimedOut,
  /** A line was longer than the maximum. */
  LineTooLong,
};

/** Receives the events of a line connection. */
class LineListener
{
public:
  virtual ~LineListener() = default;
  virtual void OnConnected() {}
  /** Receives one line without its CR LF. May destroy the connection. */
  virtual void OnLine(std::string_view aLine) = 0;
  /** The last event. May destroy the connection. */
  virtual void OnEnd(LineCloseReason aEnd) = 0;
};

/**
 * A TCP connection that carries lines, each ended by CR LF; a line may contain
 * a bare CR or LF. Reading pauses while the write buffer exceeds a limit, which
 * bounds the memory used for a peer that does not read.
 */
class LineConnection
{
public:
  /** Takes over an accepted socket. */
  LineConnection(Core::Loop& aLoop, int aSocket, LineListener& aListener);
  /** Connects to aAddress within aTimeout. */
  LineConnection(Core::Loop& aLoop,
                 const Address& aAddress,
                 Core::Duration aTimeout,
                 LineListener& aListener);
  ~LineConnection();
  LineConnection(const LineConnection&) = delete;
  LineConnection& operator=(const LineConnection&) = delete;

  /** Longer lines end the connection with LineTooLong. */
  void SetMaxLineBytes(std::size_t aBytes) { maxLineBytes_ = aBytes; }

  /** Appends bytes to the write buffer. */
  void Write(std::string_view aBytes);

  /**
   * Flushes the write buffer, half-closes the connection and closes it after a
   * linger time. Until then, incoming bytes are read and dropped, so that the
   * peer can read the last response. The listener receives no further events.
   */
  static void CloseAfterWriting(std::unique_ptr<LineConnection> aConnection);

  /**
   * Closes the connection. The listener receives no further events. May be
   * called from within a listener callback.
   */
  static void Abandon(std::unique_ptr<LineConnection> aConnection);

private:
  void Attach();
  void ReadLines();
  void OnEvent(short aWhat);
  bool IsLingering() const { return listener_ == nullptr; }
  void ShutDownWriting();

  Core::Loop& loop_;
  LineListener* listener_;
  bufferevent* events_ = nullptr;
  std::size_t maxLineBytes_;
  bool isReadPaused_ = false;
  bool isConnected_ = false;
  Core::TimerHandle connectTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/** Accepts connections at one address. */
class LineServer
{
public:
  using AcceptHandler = std::function<void(int aSocket)>;

  LineServer(Core::Loop& aLoop, AcceptHandler aHandler);
  ~LineServer();
  LineServer(const LineServer&) = delete;
  LineServer& operator=(const LineServer&) = delete;

  /** Listens on aAddress and returns the bound address; port 0 picks a port. */
  std::optional<Address> Listen(const Address& aAddress,
                                Core::LastReason& aReason);
  void Close();

private:
  Core::Loop& loop_;
  AcceptHandler handler_;
  evconnlistener* listener_ = nullptr;
};

} // namespace Wire
