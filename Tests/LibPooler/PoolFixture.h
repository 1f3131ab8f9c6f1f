#pragma once

#include "FakeDatabases.h"

#include <LibPooler/ConnectionPool.h>

#include <memory>
#include <string>
#include <vector>

namespace Fakes {

/** The database "p", and those who wait for connections to it. */
class PoolFixture
{
public:
  PoolFixture()
    : databases(time)
  {
    databases.Add("p", true);
  }
  /** Ends all that runs, while what it refers to is still there. */
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
  void Pass(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  /** Waits for a connection of aPool and notes aName when it is given. */
  std::uint64_t Want(Pooler::ConnectionPool& aPool,
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
  /** Gives the connection back that was given first. */
  void GiveBack(Pooler::ConnectionPool& aPool, bool aIsClean)
  {
    const Pooler::PooledConnectionHandle connection = held.front();
    held.erase(held.begin());
    aPool.Release(connection, aIsClean);
  }

  Simulation::VirtualTime time;
  FakeDatabases databases;
  std::vector<Pooler::PooledConnectionHandle> held;
  std::vector<std::string> served;
  std::vector<Pooler::PoolRefusal> refusals;
};

} // namespace Fakes
