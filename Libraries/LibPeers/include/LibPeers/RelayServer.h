#pragma once

#include <LibWire/LineConnection.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Peers {

class Relay;

/** The first line of a connection that is to be passed on to a database. */
std::string
RelayRequest(const std::string& aDatabase);

/**
 * Passes connections of other nodes on to databases that those can't reach.
 * Only databases that this node knows are connected to.
 */
class RelayServer
{
public:
  using Lookup =
    std::function<std::optional<Wire::Address>(const std::string& aDatabase)>;

  RelayServer(Core::Loop& aLoop, Lookup aLookup);
  ~RelayServer();

  std::optional<Wire::Address> Listen(const Wire::Address& aAddress,
                                      Core::LastReason& aReason);
  std::size_t Relays() const { return relays_.size(); }

private:
  friend class Relay;
  void Remove(const std::shared_ptr<Relay>& aRelay);

  Core::Loop& loop_;
  Lookup lookup_;
  Wire::LineServer server_;
  std::set<std::shared_ptr<Relay>> relays_;
};

} // namespace Peers
