#pragma once

#include <LibWire/HttpConnection.h>

#include <list>
#include <map>

namespace Wire {

/** Calls to many processes, over connections kept per address. */
class HttpClient
{
public:
  /** aSender is the name that the other side sees. */
  HttpClient(Core::Loop& aLoop, std::string aSender);

  /** Makes a call; aCallback runs once unless the client goes first. */
  void Call(const Address& aAddress,
            const HttpCall& aCall,
            HttpCallback aCallback);

  std::size_t Connections() const;

private:
  struct Pooled
  {
    std::unique_ptr<HttpConnection> connection;
    Core::Instant idleSince;
  };
  using Pool = std::list<Pooled>;

  void Release(Pool& aPool, Pool::iterator aEntry);
  void CloseIdle();

  Core::Loop& loop_;
  std::string sender_;
  std::map<Address, Pool> pools_;
  Core::TimerHandle sweep_;
};

} // namespace Wire
