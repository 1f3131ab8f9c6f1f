#pragma once

#include <LibCore/Loop.h>
#include <LibWire/Address.h>
#include <LibWire/ProgressWatch.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
  /**
   * What the connection buffers has changed: bytes were read, or the write
   * buffer has become empty. May destroy the connection.
   */
  virtual void OnBuffers() {}
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

  /** While false, no lines are delivered and nothing is read. */
  void SetReading(bool aIsReading);

  /** The bytes in the read buffer and in the write buffer. */
  std::size_t BufferedBytes() const;
  std::size_t UnsentBytes() const;

  /** How far the line that is being received has come. */
  Progress ReadProgress() const;
  /** How far the peer has read what was written. */
  Progress WriteProgress() const;

  /** The peer's address; empty if it isn't known. */
  std::string PeerText() const;

  /** Appends bytes to the write buffer. */
  void Write(std::string_view aBytes);

  /**
   * Flushes the write buffer, half-closes the connection and closes it after a
   * linger time in which the peer has read nothing. Until then, incoming bytes
   * are read and dropped, so that the peer can read the last response. The
   * listener receives no further events. aCompanion is destroyed when the
   * connection is closed.
   */
  static void CloseAfterWriting(
    std::unique_ptr<LineConnection> aConnection,
    const std::shared_ptr<void>& aCompanion = nullptr);

  /**
   * Closes the connection. The listener receives no further events. May be
   * called from within a listener callback.
   */
  static void Abandon(std::unique_ptr<LineConnection> aConnection);

private:
  void Attach();
  void ReadLines();
  bool MustPauseReading();
  /** Removes one complete line from the read buffer. */
  std::optional<std::string> TakeLine();
  void OnDrained();
  void OnEvent(short aWhat);
  bool IsLingering() const { return listener_ == nullptr; }
  /** Keeps a closing connection while its peer reads, until aDeadline. */
  static void Linger(const std::shared_ptr<LineConnection>& aConnection,
                     const std::shared_ptr<void>& aCompanion,
                     Core::Instant aDeadline);
  void ShutDownWriting();

  Core::Loop& loop_;
  LineListener* listener_;
  bufferevent* events_ = nullptr;
  std::size_t maxLineBytes_;
  bool isReadPaused_ = false;
  bool isReading_ = true;
  /** The first bytes of the read buffer are known to contain no line end. */
  std::size_t searchedBytes_ = 0;
  std::uint64_t lines_ = 0;
  std::uint64_t lineBytes_ = 0;
  std::uint64_t writtenBytes_ = 0;
  std::uint64_t drains_ = 0;
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

  /** Leaves new connections to the system until Resume. */
  void Pause();
  void Resume();

private:
  /** No connection could be accepted, as when descriptors have run out. */
  void OnAcceptFailure();

  Core::Loop& loop_;
  AcceptHandler handler_;
  evconnlistener* listener_ = nullptr;
  bool isPaused_ = false;
  Core::TimerHandle retryTimer_;
};

} // namespace Wire
