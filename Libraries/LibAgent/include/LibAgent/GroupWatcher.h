#pragma once

#include <LibCore/Scheduler.h>
#include <LibEndpoint/EndpointLink.h>
#include <LibFailover/GroupWatch.h>
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

/** What a watcher needs of its agent. */
class WatcherHost
{
public:
  virtual ~WatcherHost() = default;
  virtual std::unique_ptr<Endpoint::EndpointLink> MakeLink(
    const Membership::Database& aDatabase) = 0;
  /** Asks members of other data centres whether aDatabase answers them. */
  virtual void AskOpinions(const std::string& aGroup,
                           const std::string& aDatabase,
                           OpinionsCallback aCallback) = 0;
  /** A name for one promotion, never given twice. */
  virtual std::string NewOwner() = 0;
  /** Puts the new primary into the audit trail, when the store can be had. */
  virtual void RecordPromotion(const std::string& aGroup,
                               const Failover::Promotion& aPromotion,
                               Failover::Trouble aTrouble) = 0;
};

/** Probes one group's databases and carries out what GroupWatch decides. */
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

  /** True when the databases are the same but for their states. */
  bool IsFor(const std::vector<Membership::Database>& aDatabases) const;

  void Update(const std::vector<Membership::Database>& aDatabases,
              const Settings::FleetSettings& aFleet,
              int aRank);

  /** Says whether aDatabase answers a probe sent now. */
  void Probe(const std::string& aDatabase,
             std::function<void(bool aAnswers)> aCallback);

  boost::json::object ToJson() const;

private:
  void ProbeAll();
  void ProbeOne(const std::string& aDatabase);
  void Tick();
  void Do(const Failover::WatchAction& aAction);
  void StartPromotion(const Failover::WatchAction& aAction);
  void DoPromotion(const std::vector<Failover::PromotionAction>& aActions);
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
  Failover::WatchSettings settings_;
  bool allowsMinority_ = false;
  Failover::GroupWatch watch_;
  std::optional<Failover::Promotion> promotion_;
  Failover::Trouble trouble_ = Failover::Trouble::None;
  /** Counts promotions, so that answers to an earlier one are dropped. */
  int round_ = 0;
  int probes_ = 0;
  Core::TimerHandle probeTimer_;
  Core::TimerHandle tickTimer_;
  Core::TimerHandle graceTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Agent
