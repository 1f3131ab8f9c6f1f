#pragma once

#include <LibWire/LineConnection.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Peers {

class Relay;

/**
 * Returns the first line that a node sends on a connection to a relay server.
 * It names the database to connect to.
 */
std::string
RelayRequest(const std::string& aDatabase);

/**
 * Relays other nodes' connections to databases that those nodes can't reach.
 * Connects only to databases that this node knows.
 */
class RelayServer
{
public:
  /** Returns a database's address; none if the database is unknown. */
  using Lookup =
    std::function<std::optional<Wire::Address>(const std::string& aDatabase)>;

  RelayServer(Core::Loop& aLoop, Lookup aLookup);
  ~RelayServer();

  /** Returns the bound address; none, with the reason, on failure. */
  std::optional<Wire::Address> Listen(const Wire::Address& aAddress,
                                      Core::LastReason& aReason);
  std::size_t RelayCount() const { return relays_.size(); }

private:
  friend class Relay;
  void Remove(const std::shared_ptr<Relay>& aRelay);

  Core::Loop& loop_;
  Lookup lookup_;
  Wire::LineServer server_;
  std::set<std::shared_ptr<Relay>> relays_;
};

} // namespace Peers
