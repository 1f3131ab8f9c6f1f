#pragma once

#include <LibWire/HttpConnection.h>

#include <list>
#include <map>

namespace Wire {

/** Makes HTTP calls over a pool of persistent connections per address. */
class HttpClient
{
public:
  /** aSender is sent in kSenderHeader of every request. */
  HttpClient(Core::Loop& aLoop, std::string aSender);

  /** Makes a call. aCallback runs once, unless the client is destroyed. */
  void Call(const Address& aAddress,
            const HttpCall& aCall,
            HttpCallback aCallback);

  /** Returns the number of pooled connections, both busy and idle. */
  std::size_t Connections() const;

private:
  struct PoolEntry
  {
    std::unique_ptr<HttpConnection> connection;
    Core::Instant idleSince;
  };
  using Pool = std::list<PoolEntry>;

  void Release(Pool& aPool, Pool::iterator aEntry);
  void CloseIdle();

  Core::Loop& loop_;
  std::string sender_;
  std::map<Address, Pool> pools_;
  Core::TimerHandle sweep_;
};

} // namespace Wire
