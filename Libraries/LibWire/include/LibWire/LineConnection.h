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

/** How a line connection ended. */
enum class LineEnd
{
  /** The other side closed it, or it broke. */
  Closed,
  /** The machine said that no process listens at the address. */
  Refused,
  /** It wasn't made in time. */
  ConnectTimedOut,
  /** A line was longer than allowed. */
  LineTooLong,
};

/** Receives what happens on a line connection. */
class LineListener
{
public:
  virtual ~LineListener() = default;
  virtual void OnConnected() {}
  /** One line, without its end. May destroy the connection. */
  virtual void OnLine(std::string_view aLine) = 0;
  /** Nothing more comes. May destroy the connection. */
  virtual void OnEnd(LineEnd aEnd) = 0;
};

/**
 * A TCP connection that carries lines, each ended by CR LF; a line may contain
 * a bare CR or LF. Reading pauses while more than a limit waits to be written,
 * so that a peer which doesn't read can't fill the memory.
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

  /** Lines above this end the connection with LineTooLong. */
  void SetMaxLineBytes(std::size_t aBytes) { maxLineBytes_ = aBytes; }

  /** Appends bytes to what is to be written. */
  void Write(std::string_view aBytes);

  /**
   * Writes what is waiting, reads and drops what still comes so that the peer
   * can read the last answer, and then closes. The listener hears nothing more.
   */
  static void CloseAfterWriting(std::unique_ptr<LineConnection> aConnection);

  /**
   * Closes the connection; the listener hears nothing more, also when this is
   * called while it is being told something.
   */
  static void Abandon(std::unique_ptr<LineConnection> aConnection);

private:
  void Attach();
  void ReadLines();
  void OnEvent(short aWhat);
  bool IsLinger() const { return listener_ == nullptr; }
  void FinishLinger();

  Core::Loop& loop_;
  LineListener* listener_;
  bufferevent* events_ = nullptr;
  std::size_t maxLineBytes_;
  bool isBlocked_ = false;
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

  /** Listens on aAddress; port 0 takes a free one. Gives the address used. */
  std::optional<Address> Listen(const Address& aAddress,
                                Core::LastReason& aReason);
  void Close();

private:
  Core::Loop& loop_;
  AcceptHandler handler_;
  evconnlistener* listener_ = nullptr;
};

} // namespace Wire
