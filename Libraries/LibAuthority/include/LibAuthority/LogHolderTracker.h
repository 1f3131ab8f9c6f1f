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
 * listed is removed only once enough others have received everything that the
 * primary had acknowledged while it was still there: until then, it may be the
 * only one besides the primary that has some commits.
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
  /** Finds out whether the holders that have gone are still needed. */
  struct Round
  {
    /** The holders that were listed when the round began. */
    std::vector<LogHolder> listed;
    /** The replicas that have received what the primary had by then. */
    int received = 0;
  };

  void Write(std::vector<LogHolder> aHolders);
  void BeginRound(std::vector<LogHolder> aListed);
  void OnPrimaryStatus(const std::shared_ptr<Round>& aRound,
                       const Sql::DatabaseStatus& aStatus);
  void AskReplicas(const std::shared_ptr<Round>& aRound,
                   const Session::LogPosition& aNeeded);
  void OnReceived(Round& aRound);

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  const SupervisedGroup& group_;
  const SupervisorTiming& timing_;
  WriteHandler write_;
  /** Replies of other rounds are ignored. */
  std::shared_ptr<Round> round_;
  Core::Instant nextRound_ = Core::Instant::min();
  Core::Instant nextWrite_ = Core::Instant::min();
};

} // namespace Authority
