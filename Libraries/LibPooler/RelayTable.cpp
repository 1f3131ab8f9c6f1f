#include <LibPooler/RelayTable.h>

#include <LibCore/Hash.h>

#include <utility>

namespace Pooler {

namespace {

/** How long a relay is used before the direct path is tried again. */
constexpr Core::Duration kDirectRetryInterval = std::chrono::seconds(2);

/**
 * After this many consecutive failed dials through relays, the database counts
 * as down and is dialled directly again.
 */
constexpr int kMaxRelayFailures = 3;

} // namespace

void
RelayTable::SetRelays(std::vector<Wire::Address> aRelays)
{
  relays_ = std::move(aRelays);
}

std::optional<Wire::Address>
RelayTable::RelayFor(const std::string& aDatabase)
{
  const auto found = relayedPaths_.find(aDatabase);
  if (found == relayedPaths_.end() || relays_.empty())
    return std::nullopt;
  if (scheduler_.Now() > found->second.until ||
      found->second.failures >= kMaxRelayFailures) {
    relayedPaths_.erase(found);
    return std::nullopt;
  }
  return relays_[found->second.relay % relays_.size()];
}

void
RelayTable::OnDialled(const std::string& aDatabase,
                      const std::optional<Wire::Address>& aRelay,
                      bool aIsConnected)
{
  const auto found = relayedPaths_.find(aDatabase);
  if (aRelay) {
    if (found == relayedPaths_.end())
      return;
    if (aIsConnected) {
      found->second.failures = 0;
      return;
    }
    ++found->second.relay;
    ++found->second.failures;
    return;
  }
  if (aIsConnected) {
    relayedPaths_.erase(aDatabase);
    return;
  }
  // Different databases begin with different relays, to spread the work.
  RelayedPath& fresh = relayedPaths_[aDatabase];
  if (fresh.failures == 0 && fresh.relay == 0)
    fresh.relay = Core::StableHash(aDatabase);
  fresh.failures = 0;
  fresh.until = scheduler_.Now() + kDirectRetryInterval;
}

} // namespace Pooler
