#pragma once

#include <LibCore/Scheduler.h>
#include <LibEndpoint/EndpointLink.h>
#include <LibFailover/GroupMonitor.h>
#include <LibFailover/Promotion.h>
#include <LibMembership/FleetView.h>
#include <LibSettings/FleetSettings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Agent {

using OpinionsCallback =
  std::function<void(std::vector<Failover::Opinion>, bool aOthersExist)>;

/** The services that a GroupWatcher uses of its agent. */
class WatcherHost
{
public:
  virtual ~WatcherHost() = default;
  virtual std::unique_ptr<Endpoint::EndpointLink> MakeLink(
    const Membership::Database& aDatabase) = 0;
  /**
   * Asks other members whether they get a response from aDatabase; members in
   * other data centres are preferred.
   */
  virtual void RequestOpinions(const std::string& aGroup,
                               const std::string& aDatabase,
                               OpinionsCallback aCallback) = 0;
  /** Returns an owner name for one promotion, unique across restarts. */
  virtual std::string NewOwner() = 0;
  /**
   * Writes the new primary to the audit trail, retrying while the store is
   * unavailable.
   */
  virtual void RecordPromotion(const std::string& aGroup,
                               const Failover::Promotion& aPromotion,
                               Failover::PromotionReason aTrouble) = 0;
};

/**
 * Probes the databases of one group, passes the reports to GroupMonitor and
 * carries out the promotions and re-pointing of replicas that it decides on.
 */
class GroupWatcher
{
public:
  GroupWatcher(Core::Scheduler& aLoop,
               WatcherHost& aHost,
               std::string aGroup,
               std::string aDataCentre,
               const std::vector<Membership::Database>& aDatabases);
  ~GroupWatcher();
  GroupWatcher(const GroupWatcher&) = delete;
  GroupWatcher& operator=(const GroupWatcher&) = delete;

  /**
   * Returns true when aDatabases has the same names and addresses as the
   * watched databases.
   */
  bool HasSameDatabases(
    const std::vector<Membership::Database>& aDatabases) const;

  /**
   * Applies new database states, settings and this node's rank among the
   * group's watchers; rank 0 acts first.
   */
  void Update(const std::vector<Membership::Database>& aDatabases,
              const Settings::FleetSettings& aFleet,
              int aRank);

  /** Probes aDatabase now and reports whether it has responded. */
  void Probe(const std::string& aDatabase,
             std::function<void(bool aHasResponded)> aCallback);

  boost::json::object ToJson() const;

private:
  void ProbeAll();
  void ProbeOne(const std::string& aDatabase);
  void Tick();
  void Execute(const Failover::MonitorAction& aAction);
  void StartPromotion(const Failover::MonitorAction& aAction);
  void ExecutePromotion(const std::vector<Failover::PromotionAction>& aActions);
  void Fence(const std::string& aDatabase);
  void Promote(const std::string& aDatabase);
  void Follow(const std::string& aDatabase,
              const Endpoint::ControlOrder& aOrder,
              const std::string& aPrimary);
  void FinishPromotion();

  Core::Scheduler& loop_;
  WatcherHost& host_;
  std::string group_;
  std::string dataCentre_;
  std::map<std::string, Membership::Database> databases_;
  std::map<std::string, std::unique_ptr<Endpoint::EndpointLink>> links_;
  Failover::MonitorSettings settings_;
  bool allowsMinority_ = false;
  Failover::GroupMonitor monitor_;
  std::optional<Failover::Promotion> promotion_;
  Failover::PromotionReason trouble_ = Failover::PromotionReason::None;
  /** Counts promotions, so that late replies to earlier ones are dropped. */
  int promotionNumber_ = 0;
  int probeRound_ = 0;
  Core::TimerHandle probeTimer_;
  Core::TimerHandle tickTimer_;
  Core::TimerHandle graceTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Agent
