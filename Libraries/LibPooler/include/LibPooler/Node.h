#pragma once

#include <LibAuthority/DutyLease.h>
#include <LibAuthority/GroupSupervisor.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/ClientSession.h>
#include <LibPooler/ControlLinks.h>
#include <LibPooler/Fleet.h>
#include <LibPooler/GroupRouter.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Pooler {

struct NodeSettings
{
  std::string name;
  /** Tells this process apart from earlier ones of the same name. */
  std::string incarnation;
  std::string dataCentre;
  Core::Duration authorityLease{ 0 };
  Authority::DutyLeaseTiming duty;
  Authority::SupervisorTiming supervisor;
  /** The share of a database's connections that all nodes may open. */
  double connectionShare = 0;
};

/** The platform's call that makes a database the primary of its group. */
class Promoter
{
public:
  virtual ~Promoter() = default;

  struct Call
  {
    std::string group;
    std::string database;
    std::string holder;
    std::uint64_t fencingToken = 0;
    Core::Duration timeout{ 0 };
  };
  /** aDone runs once, never from inside Promote. */
  virtual void Promote(
    const Call& aCall,
    std::function<void(Authority::PromoteResult)> aDone) = 0;
};

/** Where structured log lines go. */
using LogSink = std::function<void(std::string_view, boost::json::object)>;

/**
 * One node of the system, without its sockets: what it knows of the fleet, its
 * part in the failover duty, and the sessions' way to the databases.
 */
class Node final
  : public SessionHost
  , private Authority::SupervisorPort
{
public:
  Node(Core::Scheduler& aScheduler,
       NodeSettings aSettings,
       Sql::DatabaseDialer& aDialer,
       Authority::CoordinationStore& aStore,
       Promoter& aPromoter,
       Metrics::Registry& aMetrics,
       LogSink aLog);
  ~Node() override;

  /** A configuration older than the one in force is ignored. */
  void ApplyConfiguration(Configuration aConfiguration);
  /** The whole list of databases, as it is now. */
  void ApplyDatabases(DatabaseList aDatabases);

  /** The system's own rows, all of them, at some moment after aAskedAt. */
  void ApplyAllRows(const std::vector<Authority::StoredRow>& aRows,
                    Core::Instant aAskedAt);
  /** Rows that changed; a removed one has an empty value. */
  void ApplyChangedRows(const std::vector<Authority::StoredRow>& aRows,
                        Core::Instant aAskedAt);

  bool HasConfiguration() const { return hasConfiguration_; }

  /** True when clients are better off here than elsewhere. */
  bool IsReady() const;

  /** Begins a stop: gives up the duty and says not to be ready. */
  void BeginStop();
  bool IsStopping() const { return isStopping_; }

  const Route* FindRoute(std::string_view aDatabase) const override;
  GroupRouter* FindRouter(const std::string& aGroup) override;
  Core::Duration TransactionIdleTimeout() const override;
  void Report(const StatementReport& aReport) override;

  /** Sets the gauges that are read rather than counted. */
  void UpdateGauges();

private:
  struct Group
  {
    std::unique_ptr<GroupRouter> router;
    std::unique_ptr<Authority::GroupSupervisor> supervisor;
  };

  void ApplyRow(const Authority::StoredRow& aRow, Core::Instant aAskedAt);
  void ApplyGroupRow(const Authority::StoredRow& aRow, Core::Instant aAskedAt);
  Group& FindOrAddGroup(const std::string& aName);
  void ShareDatabases();
  void ShareConnections();
  void Tick();
  void WriteDuty();
  void RegisterMember();
  void KeepSamplesFresh();
  void SampleGroup(GroupRouter& aRouter);

  bool HoldsDuty(Core::Duration aMargin) const override;
  void Probe(const std::string& aId,
             Core::Duration aTimeout,
             ProbeHandler aDone) override;
  void StepDown(const std::string& aId,
                Session::Term aTerm,
                Core::Duration aTimeout,
                ProbeHandler aDone) override;
  void Promote(const std::string& aGroup,
               const std::string& aId,
               Core::Duration aTimeout,
               std::function<void(Authority::PromoteResult)> aDone) override;
  void WriteRecord(
    const Authority::GroupRecord& aRecord,
    std::function<void(Authority::WriteOutcome)> aDone) override;
  void RevokeEverywhere(const Authority::GroupRecord& aRecord,
                        std::function<void()> aDone) override;
  void Log(std::string_view aWhat, boost::json::object aFacts) override;

  Core::Scheduler& scheduler_;
  NodeSettings settings_;
  Sql::DatabaseDialer& dialer_;
  Authority::CoordinationStore& store_;
  Promoter& promoter_;
  Metrics::Registry& metrics_;
  LogSink log_;
  ControlLinks control_;
  Authority::DutyLease duty_;
  Configuration configuration_;
  DatabaseList databases_;
  bool hasConfiguration_ = false;
  bool hasDatabases_ = false;
  bool hasRows_ = false;
  bool isStopping_ = false;
  bool isRegistering_ = false;
  std::map<std::string, Group> groups_;
  std::set<std::string> members_;
  std::set<std::string> sampling_;
  Core::Instant renewedAt_{};
  Core::TimerHandle tick_;
  Core::TimerHandle sampler_;
};

} // namespace Pooler
