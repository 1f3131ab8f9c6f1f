#include <LibWire/HttpClient.h>

#include <algorithm>
#include <utility>

namespace Wire {

namespace {

/** Idle connections are closed after this time, before they can go stale. */
constexpr Core::Duration kIdleTimeout = std::chrono::seconds(5);

} // namespace

HttpClient::HttpClient(Core::Loop& aLoop, std::string aSender)
  : loop_(aLoop)
  , sender_(std::move(aSender))
  , sweep_(aLoop.Every(kIdleTimeout, [this] { CloseIdle(); }))
{
}

HttpCallId
HttpClient::Call(const Address& aAddress,
                 const HttpCall& aCall,
                 HttpCallback aCallback)
{
  Pool& pool = pools_[aAddress];
  // Reuse the most recently used idle connection, so that surplus connections
  // reach the idle timeout.
  auto entry =
    std::find_if(pool.begin(), pool.end(), [](const PoolEntry& aEntry) {
      return !aEntry.connection->IsBusy();
    });
  if (entry == pool.end()) {
    pool.push_front(
      { std::make_unique<HttpConnection>(loop_, aAddress, sender_) });
    entry = pool.begin();
  }
  entry->call = ++lastCall_;
  entry->connection->Send(aCall,
                          [this, &pool, entry, callback = std::move(aCallback)](
                            HttpOutcome aOutcome) {
                            Release(pool, entry);
                            callback(std::move(aOutcome));
                          });
  return entry->call;
}

std::size_t
HttpClient::ReceivedBytes(HttpCallId aId) const
{
  for (const auto& [address, pool] : pools_) {
    for (const PoolEntry& entry : pool) {
      if (entry.call == aId && entry.connection->IsBusy())
        return entry.connection->ReceivedBytes();
    }
  }
  return 0;
}

void
HttpClient::Cancel(HttpCallId aId)
{
  for (auto& [address, pool] : pools_) {
    const auto entry =
      std::find_if(pool.begin(), pool.end(), [aId](const PoolEntry& aEntry) {
        return aEntry.call == aId && aEntry.connection->IsBusy();
      });
    if (entry == pool.end())
      continue;
    entry->connection->Cancel();
    Release(pool, entry);
    return;
  }
}

void
HttpClient::Release(Pool& aPool, Pool::iterator aEntry)
{
  aEntry->idleSince = loop_.Now();
  if (aEntry->connection->IsUsable()) {
    aPool.splice(aPool.begin(), aPool, aEntry);
    return;
  }
  // The connection is still on the call stack; destroy it in a deferred task.
  std::shared_ptr<HttpConnection> discarded(std::move(aEntry->connection));
  aPool.erase(aEntry);
  loop_.Defer([discarded] {});
}

void
HttpClient::CloseIdle()
{
  const Core::Instant limit = loop_.Now() - kIdleTimeout;
  for (auto& [address, pool] : pools_) {
    pool.remove_if([limit](const PoolEntry& aEntry) {
      return !aEntry.connection->IsBusy() && aEntry.idleSince < limit;
    });
  }
}

std::size_t
HttpClient::Connections() const
{
  std::size_t count = 0;
  for (const auto& [address, pool] : pools_)
    count += pool.size();
  return count;
}

} // namespace Wire
