#include <LibPooler/RelayTable.h>

#include <LibCore/Hash.h>

#include <utility>

namespace Pooler {

namespace {

/** The direct way is tried again this often. */
constexpr Core::Duration kDetourTime = std::chrono::seconds(2);

/** A database that so many other nodes don't reach either is down. */
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
  const auto detour = detours_.find(aDatabase);
  if (detour == detours_.end() || relays_.empty())
    return std::nullopt;
  if (scheduler_.Now() > detour->second.until ||
      detour->second.failures >= kMaxRelayFailures) {
    detours_.erase(detour);
    return std::nullopt;
  }
  return relays_[detour->second.relay % relays_.size()];
}

void
RelayTable::OnDialled(const std::string& aDatabase,
                      const std::optional<Wire::Address>& aRelay,
                      bool aIsConnected)
{
  const auto detour = detours_.find(aDatabase);
  if (aRelay) {
    if (detour == detours_.end())
      return;
    if (aIsConnected) {
      detour->second.failures = 0;
      return;
    }
    ++detour->second.relay;
    ++detour->second.failures;
    return;
  }
  if (aIsConnected) {
    detours_.erase(aDatabase);
    return;
  }
  // Different databases begin with different relays, to spread the work.
  RelayedPath& fresh = detours_[aDatabase];
  if (fresh.failures == 0 && fresh.relay == 0)
    fresh.relay = Core::StableHash(aDatabase);
  fresh.failures = 0;
  fresh.until = scheduler_.Now() + kDetourTime;
}

} // namespace Pooler
