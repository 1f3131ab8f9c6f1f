#pragma once

#include <LibWire/HttpConnection.h>

#include <list>
#include <map>

namespace Wire {

/** Identifies a call of an HttpClient; ids are never reused. */
using HttpCallId = std::uint64_t;

/** Makes HTTP calls over a pool of persistent connections per address. */
class HttpClient
{
public:
  /** aSender is sent in kSenderHeader of every request. */
  HttpClient(Core::Loop& aLoop, std::string aSender);

  /** Makes a call. aCallback runs once, unless the client is destroyed. */
  HttpCallId Call(const Address& aAddress,
                  const HttpCall& aCall,
                  HttpCallback aCallback);

  /** Bytes received for a call; 0 if it isn't in progress any more. */
  std::size_t ReceivedBytes(HttpCallId aId) const;

  /**
   * Ends a call and closes its connection; its callback then never runs. Does
   * nothing if the call isn't in progress any more.
   */
  void Cancel(HttpCallId aId);

  /** Returns the number of pooled connections, both busy and idle. */
  std::size_t Connections() const;

private:
  struct PoolEntry
  {
    std::unique_ptr<HttpConnection> connection;
    Core::Instant idleSince{};
    /** The latest call on the connection. */
    HttpCallId call = 0;
  };
  using Pool = std::list<PoolEntry>;

  void Release(Pool& aPool, Pool::iterator aEntry);
  void CloseIdle();

  Core::Loop& loop_;
  std::string sender_;
  std::map<Address, Pool> pools_;
  HttpCallId lastCall_ = 0;
  Core::TimerHandle sweep_;
};

} // namespace Wire
