#pragma once

#include <LibCore/Scheduler.h>
#include <LibWire/Address.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pooler {

/**
 * Tracks which databases are reached through a relay. When only some nodes are
 * cut off from a database, other nodes relay their connections.
 */
class RelayTable
{
public:
  explicit RelayTable(Core::Scheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  /** Sets the addresses at which other nodes accept connections to relay. */
  void SetRelays(std::vector<Wire::Address> aRelays);

  /** Returns the relay to dial through; none to dial directly. */
  std::optional<Wire::Address> RelayFor(const std::string& aDatabase);

  /** Records the outcome of a dial over the path that RelayFor returned. */
  void OnDialled(const std::string& aDatabase,
                 const std::optional<Wire::Address>& aRelay,
                 bool aIsConnected);

private:
  struct RelayedPath
  {
    /** When the direct path is tried again. */
    Core::Instant until;
    /** Index into the relays, modulo their number. */
    std::size_t relay = 0;
    /** Consecutive failed dials through relays. */
    int failures = 0;
  };

  Core::Scheduler& scheduler_;
  std::vector<Wire::Address> relays_;
  /** By database id. */
  std::map<std::string, RelayedPath> relayedPaths_;
};

} // namespace Pooler
