#pragma once

#include <LibAuthority/CandidateChoice.h>
#include <LibAuthority/CandidatePromotion.h>
#include <LibAuthority/LogHolderTracker.h>
#include <LibAuthority/PrimaryMonitor.h>
#include <LibAuthority/PrimarySurvey.h>
#include <LibAuthority/SampleHistory.h>
#include <LibAuthority/StatusPoll.h>
#include <LibAuthority/SupervisorPort.h>
#include <LibCore/Scheduler.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Authority {

/**
 * Ensures that a group has a working primary. Monitors the primary and replaces
 * it when it is lost or about to leave, or when it is overloaded because the
 * replicas lag too far behind to serve reads.
 *
 * Such a switchover adds a database that can serve reads. The promoted replica
 * serves everything that it has received. The former primary has applied its
 * complete log, so that as a replica it does not lag.
 *
 * Acts only while its node holds the failover duty. The stored record shows the
 * progress of a change, so that the next holder of the duty can complete it.
 */
class GroupSupervisor
{
public:
  GroupSupervisor(Core::Scheduler& aScheduler,
                  SupervisorPort& aPort,
                  std::string aGroup,
                  SupervisorTiming aTiming);

  /** Sets the group's databases, as the platform currently lists them. */
  void SetDatabases(std::vector<SupervisedDatabase> aDatabases);

  /**
   * Sets how many replicas must have received a commit before the primary
   * acknowledges it, according to the configuration.
   */
  void SetSyncReplicas(int aCount) { group_.configuredSyncReplicas = aCount; }

  /** Processes the stored record; none if the store has none. */
  void SetRecord(const std::optional<GroupRecord>& aRecord);

  /** Processes a reply of the primary with its log position. */
  void ReportPrimaryAlive(const SampleHistory::Sample& aSample);

  /** True while this supervisor is changing the primary. */
  bool IsChanging() const
  {
    return stage_ != Stage::Monitoring && stage_ != Stage::Surveying;
  }

  /** True while no candidate is chosen since databases are silent. */
  bool IsChoiceWaiting() const { return isChoiceWaiting_; }

  /** Runs due actions; to be called several times per second. */
  void Tick();

private:
  enum class Stage
  {
    Monitoring,
    /**
     * Requesting all databases' statuses, because the group has no record, or
     * one that was written before the store was restored from a copy.
     */
    Surveying,
    /** Writing the record that begins the change. */
    WritingChange,
    /** Waiting until no node can use the old primary any more. */
    Fencing,
    /** Requesting the databases' log positions to choose a candidate. */
    Choosing,
    /** Writing the record that names the candidate. */
    WritingCandidate,
    /** Promoting the candidate, and waiting until it is primary. */
    Promoting,
    /** Writing the record that ends the change. */
    WritingEnd,
  };

  void EnterStage(Stage aStage);
  /** Returns to Monitoring, which continues from the stored record. */
  void Abandon();
  void Monitor();
  void BeginSurvey();
  void CheckSurvey();
  void RecordFirst(const std::string& aPrimary);
  /** Writes the record again after the store was restored from a copy. */
  void ConfirmRecord();
  void BeginChange(std::string_view aReason, bool aIsSwitchover = false);
  /** Continues a change that this or another holder of the duty has begun. */
  void ContinueChange();
  void BeginFencing();
  void CheckFence();
  void OnFenced(std::string_view aHow);
  void BeginChoosing();
  void TryChooseCandidate();
  /** Goes on polling the databases at a lower rate; logs which are silent. */
  void WaitForSilentDatabases();
  void KeepPrimary();
  void WriteCandidate(const std::string& aCandidate);
  void Complete(const std::string& aId, const Sql::DatabaseStatus& aStatus);
  void WriteEnd(const GroupRecord& aRecord);
  /** Writes the record without leaving the stage. */
  void WriteLogHolders(GroupRecord aRecord);
  void WriteAndThen(GroupRecord aRecord, std::function<void()> aNext);
  /** Wraps a handler to ignore results of probes of an earlier stage. */
  std::function<void(ProbeOutcome)> Guard(
    std::function<void(const ProbeOutcome&)> aHandler);

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  SupervisorTiming timing_;
  SupervisedGroup group_;
  StatusPoll poll_;
  PrimaryMonitor monitor_;
  LogHolderTracker logHolders_;
  CandidatePromotion promotion_;

  Stage stage_ = Stage::Monitoring;
  Core::Instant stageSince_{};
  /** Incremented with every stage; replies of earlier stages are ignored. */
  std::uint64_t epoch_ = 0;
  bool heldDuty_ = false;
  bool isChoiceWaiting_ = false;
  Core::Instant nextWaitReport_ = Core::Instant::min();
  Core::Instant nextSurvey_ = Core::Instant::min();
  /** The end of the old primary's log after it stepped down. */
  std::optional<Session::LogPosition> stepDownPosition_;
};

} // namespace Authority
