#pragma once

#include <LibPooler/ConnectionRequirements.h>
#include <LibPooler/PooledConnection.h>

#include <functional>
#include <list>
#include <string>

namespace Pooler {

/**
 * The open connections of a pool that nobody uses, from the most to the least
 * recently used. A connection is taken only for the customer that it was opened
 * for, or for commands that a connection of any customer may carry.
 */
class IdleConnections
{
public:
  /** Adds a connection that was used until now. */
  void Add(const PooledConnectionHandle& aConnection);
  void Remove(const PooledConnectionHandle& aConnection);

  /** Returns true if a connection fits the customer. */
  bool HasFor(const ConnectionRequirements& aRequirements) const;
  /**
   * Takes a connection that fits the customer, preferably one with the session
   * values; null if there is none.
   */
  PooledConnectionHandle Take(const ConnectionRequirements& aRequirements);

  using CustomerPredicate = std::function<bool(const std::string&)>;
  /**
   * Returns the least recently used one whose customer satisfies the predicate;
   * null if there is none.
   */
  PooledConnectionHandle LeastRecentWhere(
    const CustomerPredicate& aPredicate) const;
  /** Closes the least recently used one. */
  void CloseOne() { connections_.pop_back(); }
  /** Closes those unused since aLimit, but keeps one. */
  void CloseUnusedSince(Core::Instant aLimit);
  void CloseAll() { connections_.clear(); }

  bool IsEmpty() const { return connections_.empty(); }
  int Size() const { return static_cast<int>(connections_.size()); }

private:
  std::list<PooledConnectionHandle> connections_;
};

} // namespace Pooler
