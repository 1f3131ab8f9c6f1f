#pragma once

#include <LibAuthority/CandidateChoice.h>
#include <LibAuthority/CoordinationStore.h>
#include <LibAuthority/GroupRecord.h>
#include <LibAuthority/PrimaryAuthority.h>
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

/** How a call to promote a database ended. */
enum class PromoteResult
{
  /** The platform took it; the database leads some moments later. */
  Accepted,
  /** The database isn't running, or the call was refused for another reason. */
  Rejected,
  /** No answer: it may take effect later. */
  Unknown,
};

inline constexpr Core::EnumNames<PromoteResult, 3> kPromoteResultNames{ {
  { { PromoteResult::Accepted, "accepted" },
    { PromoteResult::Rejected, "rejected" },
    { PromoteResult::Unknown, "unknown" } },
} };

/** How a question to a database ended. */
struct ProbeOutcome
{
  std::optional<Sql::DatabaseStatus> status;
  /** It is alive and has no time for an answer. */
  bool isBusy = false;
  /** Its VM says that no process listens. */
  bool isRefused = false;
};

/** What the supervisor needs from the node that it runs on. */
class SupervisorPort
{
public:
  virtual ~SupervisorPort() = default;
  using ProbeHandler = std::function<void(ProbeOutcome)>;

  /** True while this node holds the failover duty for at least aMargin. */
  virtual bool HoldsDuty(Core::Duration aMargin) const = 0;

  /**
   * True if a primary that is silent towards this node is so towards the
   * others as well, as far as they can be asked.
   */
  virtual bool IsLostToOthers(const std::string& aGroup,
                              Core::Duration aSilence) const = 0;

  /**
   * True if a database's process is known to have ended for good, so that
   * nobody can be using it.
   */
  virtual bool HasEnded(const std::string& aId) const = 0;

  /**
   * True if the group's primary has to run all reads, since every replica is
   * too far behind, and can't keep up, and all nodes can be told of a change.
   */
  virtual bool IsOverloaded(const std::string& aGroup) const = 0;

  /** Asks a database for its status; gives up after aTimeout. */
  virtual void Probe(const std::string& aId,
                     Core::Duration aTimeout,
                     ProbeHandler aDone) = 0;

  /** Makes a primary of a term below aTerm a replica; gives its status. */
  virtual void StepDown(const std::string& aId,
                        Session::Term aTerm,
                        Core::Duration aTimeout,
                        ProbeHandler aDone) = 0;

  virtual void Promote(const std::string& aGroup,
                       const std::string& aId,
                       Core::Duration aTimeout,
                       std::function<void(PromoteResult)> aDone) = 0;

  virtual void WriteRecord(const GroupRecord& aRecord,
                           std::function<void(WriteOutcome)> aDone) = 0;

  /**
   * Asks all other nodes to give up their authority over the group. aDone runs
   * once all have agreed, or never.
   */
  virtual void RevokeEverywhere(const GroupRecord& aRecord,
                                std::function<void()> aDone) = 0;

  /** A structured line for the log. */
  virtual void Log(std::string_view aWhat, boost::json::object aFacts) = 0;
};

struct SupervisorTiming
{
  /** How long a node may use a primary without asking again. */
  AuthorityLease authorityLease;
  /** Longer than clocks of two VMs drift apart during a lease. */
  Core::Duration clockMargin{ 0 };
  /** How often the primary is asked. */
  Core::Duration probeInterval{ 0 };
  /** A question to a database is given up after this. */
  Core::Duration probeTimeout{ 0 };
  /** A primary that has been silent for this long is replaced. */
  Core::Duration silenceLimit{ 0 };
  /** How long replicas are waited for when the candidate is chosen. */
  Core::Duration choiceTimeout{ 0 };
  /** A call to promote is given up after this. */
  Core::Duration promoteTimeout{ 0 };
  /** A promotion that shows no effect for this long is tried again. */
  Core::Duration promotionRetryInterval{ 0 };
};

/**
 * Keeps one group led: watches its primary and replaces it when it is lost or
 * leaving, or when the replicas apply its log so late that it has all reads and
 * can't keep up. A promoted replica leads with all that it has received, and
 * the former primary, whose log is applied, helps with the reads. Acts only
 * while its node holds the failover duty; a successor finishes from the record
 * what its predecessor began.
 */
class GroupSupervisor
{
public:
  GroupSupervisor(Core::Scheduler& aScheduler,
                  SupervisorPort& aPort,
                  std::string aGroup,
                  SupervisorTiming aTiming);

  /** The group's databases, as the platform lists them now. */
  void SetDatabases(std::vector<SupervisedDatabase> aDatabases);

  /** The record as the store holds it; none while there is none. */
  void SetRecord(const std::optional<GroupRecord>& aRecord);

  /** The primary has answered, with the position of its log. */
  void NotePrimaryAlive(const SampleHistory::Sample& aSample);

  /** True while a change of primary is under way here. */
  bool IsChanging() const { return stage_ != Stage::Watching; }

  /** Does what is due; to be called some times a second. */
  void Tick();

private:
  enum class Stage
  {
    /** The primary is watched, or the group has no record yet. */
    Watching,
    /** The record that begins the change is being written. */
    Announcing,
    /** The old primary may still be in use. */
    Fencing,
    /** The replicas are asked for their positions. */
    Choosing,
    /** The record that names the candidate is being written. */
    Naming,
    /** The candidate is to be promoted, and watched until it leads. */
    Promoting,
    /** The record that ends the change is being written. */
    Completing,
  };

  void EnterStage(Stage aStage);
  void Abandon();
  void FindFirstPrimary();
  void OnFirstStatuses();
  void WatchPrimary();
  void OnPrimaryProbe(const ProbeOutcome& aOutcome);
  void ConsiderSwitchover();
  void BeginChange(std::string_view aReason, bool aIsVoluntary = false);
  void BeginFencing();
  void CheckFence();
  void OnFenced(std::string_view aHow);
  void BeginChoosing();
  void AskCandidates();
  void TryChoose();
  void KeepPrimary();
  void Name(const std::string& aCandidate);
  void CallPromote();
  void WatchCandidate();
  void OnCandidateProbe(const ProbeOutcome& aOutcome);
  void Complete(const std::string& aId, const Sql::DatabaseStatus& aStatus);
  /** Writes the record that ends the change. */
  void WriteEnd(const GroupRecord& aRecord);
  void WriteAndThen(const GroupRecord& aRecord, std::function<void()> aNext);
  void ProbeInto(const std::string& aId);
  const SupervisedDatabase* Find(const std::string& aId) const;
  bool HasUsefulCandidate() const;
  std::function<void(ProbeOutcome)> Guard(
    std::function<void(const ProbeOutcome&)> aHandler);

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  std::string group_;
  SupervisorTiming timing_;
  std::vector<SupervisedDatabase> databases_;
  std::optional<GroupRecord> record_;

  Stage stage_ = Stage::Watching;
  Core::Instant stageSince_{};
  /** Answers to questions of an earlier stage are ignored. */
  std::uint64_t epoch_ = 0;
  bool isProbing_ = false;
  bool wasOnDuty_ = false;
  Core::Instant nextProbe_{};
  Core::Instant primaryAliveAt_{};
  /** How far the primary's log went when it answered last. */
  std::optional<Session::LogPosition> primaryPosition_;
  Core::Instant noSwitchoverBefore_ = Core::Instant::min();
  std::map<std::string, Sql::DatabaseStatus> statuses_;
  /** Where the old primary's log ended once it had stepped down. */
  std::optional<Session::LogPosition> steppedDownAt_;
  bool isPromoteCalled_ = false;
};

} // namespace Authority
