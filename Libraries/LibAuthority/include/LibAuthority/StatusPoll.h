#pragma once

#include <LibAuthority/SupervisedGroup.h>
#include <LibAuthority/SupervisorPort.h>
#include <LibCore/Scheduler.h>

#include <map>
#include <string>

namespace Authority {

/** Requests the statuses of all databases of a group again and again. */
class StatusPoll
{
public:
  /** Refers to aGroup and aTiming, which must outlive this object. */
  StatusPoll(Core::Scheduler& aScheduler,
             SupervisorPort& aPort,
             const SupervisedGroup& aGroup,
             const SupervisorTiming& aTiming);

  /** Forgets all replies; those to earlier requests are ignored. */
  void Reset();
  /** Forgets the reply of a database that has restarted. */
  void Forget(const std::string& aId) { statuses_.erase(aId); }
  /** Sends the requests that are due. */
  void Tick();
  /**
   * Sends the next requests later, since databases have been silent for a
   * while. To be called after each Tick for which this holds.
   */
  void SlowDown();

  /** The latest statuses since Reset, by database id. */
  const std::map<std::string, Sql::DatabaseStatus>& Statuses() const
  {
    return statuses_;
  }
  /** Adds the end of each database's log to a log line. */
  void AddPositions(boost::json::object& aFacts) const;

private:
  void Probe(const std::string& aId);

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  const SupervisedGroup& group_;
  const SupervisorTiming& timing_;
  /** Incremented by each reset. */
  std::uint64_t epoch_ = 0;
  Core::Instant lastRound_{};
  Core::Instant nextRound_{};
  std::map<std::string, Sql::DatabaseStatus> statuses_;
};

} // namespace Authority
