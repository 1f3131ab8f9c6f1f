#pragma once

#include <LibAuthority/SupervisedGroup.h>
#include <LibAuthority/SupervisorPort.h>
#include <LibCore/Scheduler.h>

#include <functional>
#include <memory>
#include <vector>

namespace Authority {

/**
 * Keeps the record's list of log holders true while a primary leads a group
 * with synchronous replicas.
 *
 * A database process is added as soon as it is listed. One that is no longer
 * listed is removed only once it doesn't answer, and enough others have
 * received everything that the primary had acknowledged while it was still
 * there: until then, it may be the only one besides the primary that has some
 * commits.
 */
class LogHolderTracker
{
public:
  /** Receives the record to write. */
  using WriteHandler = std::function<void(GroupRecord)>;

  /** Refers to aGroup and aTiming, which must outlive this object. */
  LogHolderTracker(Core::Scheduler& aScheduler,
                   SupervisorPort& aPort,
                   const SupervisedGroup& aGroup,
                   const SupervisorTiming& aTiming,
                   WriteHandler aWrite);

  /** Begins what is due; requires a record without a change in progress. */
  void Check();
  /** Ignores the results of pending requests to databases. */
  void Interrupt() { round_.reset(); }

private:
  /** Finds out which of the holders that have gone are still needed. */
  struct Round
  {
    /** Those that are listed, or that answer although they aren't. */
    std::vector<LogHolder> present;
    /** The requests to unlisted holders without an outcome so far. */
    int pending = 0;
    /** The replicas that have received what the primary had by then. */
    int received = 0;
  };
  using RoundHandle = std::shared_ptr<Round>;

  void Write(std::vector<LogHolder> aHolders);
  void BeginRound(std::vector<LogHolder> aListed);
  void OnUnlistedProbe(const RoundHandle& aRound,
                       const LogHolder& aHolder,
                       const ProbeOutcome& aOutcome);
  void AskPrimary(const RoundHandle& aRound);
  void OnPrimaryStatus(const RoundHandle& aRound,
                       const Sql::DatabaseStatus& aStatus);
  void OnReplicaStatus(Round& aRound,
                       const Session::LogPosition& aNeeded,
                       const Sql::DatabaseStatus& aStatus);

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  const SupervisedGroup& group_;
  const SupervisorTiming& timing_;
  WriteHandler write_;
  /** Replies of other rounds are ignored. */
  RoundHandle round_;
  Core::Instant nextRound_ = Core::Instant::min();
  Core::Instant nextWrite_ = Core::Instant::min();
};

} // namespace Authority
