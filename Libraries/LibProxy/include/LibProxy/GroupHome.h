#pragma once

#include <LibAdmission/RetryBudget.h>
#include <LibCore/Random.h>
#include <LibCore/Scheduler.h>
#include <LibEndpoint/GroupState.h>
#include <LibMembership/FleetView.h>
#include <LibMetrics/Metrics.h>
#include <LibProxy/DatabasePool.h>
#include <LibRequest/ReadRouter.h>
#include <LibRequest/RequestMessage.h>
#include <LibSettings/FleetSettings.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Proxy {

using SettingsHandle = std::shared_ptr<const Settings::FleetSettings>;

/** Creates the link to a database; tests create links to fake databases. */
class LinkFactory
{
public:
  virtual ~LinkFactory() = default;
  virtual std::unique_ptr<Endpoint::EndpointLink> Make(
    const Membership::Database& aDatabase) = 0;
};

/** The dependencies that all GroupHome objects of a node share. */
struct HomeContext
{
  Core::Scheduler& loop;
  Core::Random& random;
  Metrics::Registry& metrics;
  LinkFactory& links;
  std::string nodeName;
  std::string dataCentre;
};

/**
 * Serves one database group on the group's home, the node to which all requests
 * for the group are forwarded. Holds a connection pool for each database, the
 * latest reports of the databases, and the callbacks waiting for these reports
 * to satisfy a condition.
 */
class GroupHome
{
public:
  GroupHome(HomeContext& aContext, std::string aGroup);
  ~GroupHome();
  GroupHome(const GroupHome&) = delete;
  GroupHome& operator=(const GroupHome&) = delete;

  /** Sets the group's databases and the current fleet settings. */
  void Update(const std::vector<const Membership::Database*>& aDatabases,
              SettingsHandle aSettings);

  const std::string& Name() const { return name_; }
  HomeContext& Context() { return context_; }
  /** The state of the group, as its databases last reported it. */
  const Endpoint::GroupState& State() const { return state_; }
  /** The current fleet settings. */
  const Settings::FleetSettings& Fleet() const { return *settings_; }
  /** The settings scope of requests of aKind to this group. */
  Settings::Scope ScopeOf(const std::string& aKind) const;
  Admission::RetryBudget& Retries() { return retries_; }
  Request::ReadRouter& Router() { return router_; }

  /** The pool of aDatabase, or null if it is not in the group. */
  DatabasePool* PoolOf(const std::string& aDatabase);
  /** The databases that have reported at least once, with their estimates. */
  std::vector<Request::ReadCandidate> Candidates() const;

  /**
   * Records the report in a reply of aDatabase, if the reply has one.
   * aRequestedAt is the time at which the request was sent.
   */
  void RecordReport(const std::string& aDatabase,
                    const std::optional<Endpoint::DatabaseReport>& aReport,
                    Core::Instant aRequestedAt);

  /** Requests the status of every database immediately. */
  void PollNow();

  using WaiterNumber = std::uint64_t;

  /**
   * Calls aCallback once aCondition holds. The condition is evaluated soon
   * after this call and after each report. The callback never runs inside this
   * call.
   */
  WaiterNumber CallWhen(std::function<bool()> aCondition,
                        std::function<void()> aCallback);
  void CancelWait(WaiterNumber aWaiter);

  /** Returns the status of the group for operators. */
  boost::json::object ToJson() const;

private:
  struct DatabaseEntry
  {
    Membership::Database info;
    std::unique_ptr<DatabasePool> pool;
    bool isReachable = true;
    Core::TimerHandle pollTimer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    ~DatabaseEntry() { *alive = false; }
  };
  struct Waiter
  {
    std::function<bool()> condition;
    std::function<void()> callback;
  };

  PoolLimits LimitsOf(const Membership::Database& aDatabase) const;
  void AddDatabase(const Membership::Database& aDatabase);
  void Poll(const std::string& aDatabase);
  void HandlePollReply(const std::string& aDatabase,
                       const std::optional<Endpoint::DatabaseReport>& aReport,
                       Core::Instant aRequestedAt);
  void CheckWaiters();
  void DeleteExpiredLedgerRows();
  void RunLedgerExpiry(const std::string& aDatabase,
                       const Endpoint::Batch& aBatch,
                       const ConnectionHandle& aConnection);

  HomeContext& context_;
  std::string name_;
  SettingsHandle settings_;
  Endpoint::GroupState state_;
  Admission::RetryBudget retries_;
  Request::ReadRouter router_;
  std::map<std::string, std::unique_ptr<DatabaseEntry>> databases_;
  std::map<WaiterNumber, Waiter> waiters_;
  WaiterNumber lastWaiter_ = 0;
  bool checkScheduled_ = false;
  Core::TimerHandle ledgerTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Proxy
