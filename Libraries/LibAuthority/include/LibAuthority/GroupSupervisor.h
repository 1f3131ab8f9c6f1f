#pragma once

#include <LibAuthority/CandidateChoice.h>
#include <LibAuthority/CoordinationStore.h>
#include <LibAuthority/GroupRecord.h>
#include <LibAuthority/PrimaryAuthority.h>
#include <LibAuthority/PrimarySurvey.h>
#include <LibAuthority/SampleHistory.h>
#include <LibCore/Scheduler.h>
#include <LibSql/DatabaseLink.h>

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Authority {

/** The result of a request to promote a database. */
enum class PromoteResult
{
  /** The platform accepted it; the database becomes primary shortly after. */
  Accepted,
  /** The database is not running, or the platform refused the request. */
  Rejected,
  /** No reply: the promotion may take effect later. */
  Unknown,
};

inline constexpr Core::EnumNames<PromoteResult, 3> kPromoteResultNames{ {
  { { PromoteResult::Accepted, "accepted" },
    { PromoteResult::Rejected, "rejected" },
    { PromoteResult::Unknown, "unknown" } },
} };

/** The result of a health check of a database. */
struct ProbeOutcome
{
  /** None without a reply. */
  std::optional<Sql::DatabaseStatus> status;
  /** The database is alive but too busy to reply. */
  bool isBusy = false;
  /** Its VM refused the connection: no process listens. */
  bool isRefused = false;
};

/** The interface through which a supervisor uses its node. */
class SupervisorPort
{
public:
  virtual ~SupervisorPort() = default;
  using ProbeHandler = std::function<void(ProbeOutcome)>;

  /** True while this node holds the failover duty for at least aMargin. */
  virtual bool HoldsDuty(Core::Duration aMargin) const = 0;

  /**
   * True unless enough peers reach the group's primary, or many peers have not
   * reported recently and aSilence is still short. aSilence is how long the
   * primary has not replied to this node.
   */
  virtual bool IsUnreachableByPeers(const std::string& aGroup,
                                    Core::Duration aSilence) const = 0;

  /**
   * True if a database's process is known to have ended for good, so that no
   * node can be using it.
   */
  virtual bool HasEnded(const std::string& aId) const = 0;

  /**
   * True if the group's primary is overloaded because it runs all reads, every
   * replica being too far behind, and all nodes can be notified of a
   * switchover.
   */
  virtual bool IsOverloaded(const std::string& aGroup) const = 0;

  /** Requests a database's status. Gives up after aTimeout. */
  virtual void Probe(const std::string& aId,
                     Core::Duration aTimeout,
                     ProbeHandler aDone) = 0;

  /**
   * Demotes a database to a replica if it is primary of a term below aTerm.
   * Passes its status afterwards.
   */
  virtual void StepDown(const std::string& aId,
                        Session::Term aTerm,
                        Core::Duration aTimeout,
                        ProbeHandler aDone) = 0;

  /** Requests the platform to promote a database. Gives up after aTimeout. */
  virtual void Promote(const std::string& aGroup,
                       const std::string& aId,
                       Core::Duration aTimeout,
                       std::function<void(PromoteResult)> aDone) = 0;

  /**
   * The version with which the store would report a row that doesn't exist: the
   * number 0 in the store's current era.
   */
  virtual std::uint64_t VersionOfMissingRow() const = 0;

  /** Writes the record if the stored version is still aRecord.version. */
  virtual void WriteRecord(const GroupRecord& aRecord,
                           std::function<void(WriteOutcome)> aDone) = 0;

  /**
   * Requests all other nodes to give up their authority over the group. Calls
   * aDone once all of them have confirmed; otherwise never.
   */
  virtual void RevokeEverywhere(const GroupRecord& aRecord,
                                std::function<void()> aDone) = 0;

  /** Writes a structured log line. */
  virtual void Log(std::string_view aWhat, boost::json::object aFacts) = 0;
};

struct SupervisorTiming
{
  /** How long a node may use a primary after a read of the record. */
  AuthorityLease authorityLease;
  /** Upper bound of how far the clocks of two VMs drift during a lease. */
  Core::Duration clockMargin{ 0 };
  /** The interval between health checks of the primary. */
  Core::Duration probeInterval{ 0 };
  /** The timeout of a health check. */
  Core::Duration probeTimeout{ 0 };
  /**
   * A primary that has not replied for this long is replaced if
   * SupervisorPort::IsUnreachableByPeers is true as well.
   */
  Core::Duration silenceLimit{ 0 };
  /** How long the choice of a candidate waits for replicas. */
  Core::Duration choiceTimeout{ 0 };
  /** The timeout of a promotion request. */
  Core::Duration promoteTimeout{ 0 };
  /**
   * If a promotion has had no effect for this long, a candidate is chosen
   * again.
   */
  Core::Duration promotionRetryInterval{ 0 };
};

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

  /** Processes the stored record; none if the store has none. */
  void SetRecord(const std::optional<GroupRecord>& aRecord);

  /** Processes a reply of the primary with its log position. */
  void ReportPrimaryAlive(const SampleHistory::Sample& aSample);

  /** True while this supervisor is changing the primary. */
  bool IsChanging() const
  {
    return stage_ != Stage::Monitoring && stage_ != Stage::Surveying;
  }

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
  void BeginSurvey();
  void CheckSurvey();
  void RecordFirst(const std::string& aPrimary);
  void MonitorPrimary();
  void OnPrimaryProbe(const ProbeOutcome& aOutcome);
  void ConsiderSwitchover();
  /** Writes the record again after the store was restored from a copy. */
  void ConfirmRecord();
  void BeginChange(std::string_view aReason, bool aIsSwitchover = false);
  /** Continues a change that this or another holder of the duty has begun. */
  void ContinueChange();
  void BeginFencing();
  void CheckFence();
  void OnFenced(std::string_view aHow);
  void BeginChoosing();
  void ProbeAllDatabases();
  void TryChooseCandidate();
  void KeepPrimary();
  void WriteCandidate(const std::string& aCandidate);
  void RequestPromotion();
  void MonitorCandidate();
  void OnCandidateProbe(const ProbeOutcome& aOutcome);
  void Complete(const std::string& aId, const Sql::DatabaseStatus& aStatus);
  void WriteEnd(const GroupRecord& aRecord);
  void WriteAndThen(GroupRecord aRecord, std::function<void()> aNext);
  void ProbeAndStoreStatus(const std::string& aId);
  const SupervisedDatabase* FindDatabase(const std::string& aId) const;
  bool HasEligibleCandidate() const;
  /** Wraps a handler to ignore results of probes of an earlier stage. */
  std::function<void(ProbeOutcome)> Guard(
    std::function<void(const ProbeOutcome&)> aHandler);

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  std::string group_;
  SupervisorTiming timing_;
  std::vector<SupervisedDatabase> databases_;
  std::optional<GroupRecord> record_;

  Stage stage_ = Stage::Monitoring;
  Core::Instant stageSince_{};
  /** Incremented with every stage; replies of earlier stages are ignored. */
  std::uint64_t epoch_ = 0;
  bool isProbing_ = false;
  bool heldDuty_ = false;
  Core::Instant nextProbe_{};
  Core::Instant nextSurvey_ = Core::Instant::min();
  Core::Instant primaryLastSeenAt_{};
  /** The end of the primary's log in its latest reply. */
  std::optional<Session::LogPosition> primaryPosition_;
  Core::Instant noSwitchoverBefore_ = Core::Instant::min();
  std::map<std::string, Sql::DatabaseStatus> statuses_;
  /** The end of the old primary's log after it stepped down. */
  std::optional<Session::LogPosition> stepDownPosition_;
  bool isPromotionRequested_ = false;
};

} // namespace Authority
