#pragma once

#include "FakeDatabases.h"

#include <LibPooler/ConnectionPool.h>

#include <memory>
#include <string>
#include <vector>

namespace Fakes {

/** The fake database "p", and the outcome of requests for connections to it. */
class PoolFixture
{
public:
  PoolFixture()
    : databases(time)
  {
    databases.Add("p", true);
  }
  /**
   * Drops held connections and cancels pending callbacks. Derived fixtures
   * call it before their members, which the callbacks use, are destroyed.
   */
  void End()
  {
    held.clear();
    time.Close();
  }
  ~PoolFixture() = default;
  PoolFixture(const PoolFixture&) = delete;
  PoolFixture& operator=(const PoolFixture&) = delete;

  static Pooler::Database Listed()
  {
    Pooler::Database database;
    database.id = "p";
    database.group = "g";
    return database;
  }
  void AdvanceBy(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  /** Acquires a connection of aPool; records aName and the outcome. */
  std::uint64_t RequestConnection(Pooler::ConnectionPool& aPool,
                                  const std::string& aName,
                                  Pooler::ConnectionRequirements aRequirements)
  {
    return aPool.Acquire(
      std::move(aRequirements),
      [this, aName](Pooler::PooledConnectionHandle aConnection,
                    Pooler::PoolRefusal aRefusal) {
        served.push_back(aConnection != nullptr ? aName : aName + " refused");
        refusals.push_back(aRefusal);
        if (aConnection != nullptr)
          held.push_back(std::move(aConnection));
      });
  }
  /** Releases, or else discards, the connection that was held longest. */
  void ReturnConnection(Pooler::ConnectionPool& aPool, bool aIsClean)
  {
    const Pooler::PooledConnectionHandle connection = held.front();
    held.erase(held.begin());
    if (aIsClean)
      aPool.Release(connection);
    else
      aPool.Discard(connection);
  }

  Simulation::VirtualTime time;
  FakeDatabases databases;
  std::vector<Pooler::PooledConnectionHandle> held;
  /** The names of finished requests in order; " refused" is appended. */
  std::vector<std::string> served;
  std::vector<Pooler::PoolRefusal> refusals;
};

} // namespace Fakes
