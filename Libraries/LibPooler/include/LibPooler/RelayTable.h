#pragma once

#include <LibCore/Scheduler.h>
#include <LibWire/Address.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pooler {

/**
 * Which databases are reached through another node. When only some nodes are
 * cut off from a database, the others pass their connections on.
 */
class RelayTable
{
public:
  explicit RelayTable(Core::Scheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  /** Where the other nodes take connections to pass on. */
  void SetRelays(std::vector<Wire::Address> aRelays);

  /** The node to go through now; none to go directly. */
  std::optional<Wire::Address> RelayFor(const std::string& aDatabase);

  /** A connection attempt along the way that RelayFor gave has ended. */
  void OnDialled(const std::string& aDatabase,
                 const std::optional<Wire::Address>& aRelay,
                 bool aIsConnected);

private:
  struct RelayedPath
  {
    /** When the direct way is tried again. */
    Core::Instant until;
    std::size_t relay = 0;
    int failures = 0;
  };

  Core::Scheduler& scheduler_;
  std::vector<Wire::Address> relays_;
  std::map<std::string, RelayedPath> detours_;
};

} // namespace Pooler
