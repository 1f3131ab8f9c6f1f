#pragma once

#include <LibAdmission/RetryBudget.h>
#include <LibCore/Random.h>
#include <LibCore/Scheduler.h>
#include <LibEndpoint/GroupBook.h>
#include <LibMembership/FleetView.h>
#include <LibMetrics/Metrics.h>
#include <LibProxy/DatabaseGate.h>
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

/** Makes the link to a database; tests make links to fakes. */
class LinkFactory
{
public:
  virtual ~LinkFactory() = default;
  virtual std::unique_ptr<Endpoint::EndpointLink> Make(
    const Membership::Database& aDatabase) = 0;
};

/** What every group's home on one node shares. */
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
 * One node's side of one database group: the gates to its databases, what is
 * known of them, and those that wait for something to become known.
 */
class GroupHome
{
public:
  GroupHome(HomeContext& aContext, std::string aGroup);
  ~GroupHome();
  GroupHome(const GroupHome&) = delete;
  GroupHome& operator=(const GroupHome&) = delete;

  /** Takes the group's databases and the settings in force. */
  void Update(const std::vector<const Membership::Database*>& aDatabases,
              SettingsHandle aSettings);

  const std::string& Name() const { return name_; }
  HomeContext& Context() { return context_; }
  const Endpoint::GroupBook& Book() const { return book_; }
  const Settings::FleetSettings& Fleet() const { return *settings_; }
  Settings::Scope ScopeOf(const std::string& aKind) const;
  Admission::RetryBudget& Retries() { return retries_; }
  Request::ReadRouter& Router() { return router_; }

  /** The gate to aDatabase, or null when it is not in the group. */
  DatabaseGate* GateOf(const std::string& aDatabase);
  std::vector<Request::ReadCandidate> Candidates() const;

  /** Takes a database's report from any answer. */
  void Take(const std::string& aDatabase,
            const std::optional<Endpoint::DatabaseReport>& aReport,
            Core::Instant aRequestedAt);

  /** Asks every database for its status at once. */
  void PollNow();

  using WaiterNumber = std::uint64_t;

  /**
   * Runs aCallback when aIsDue holds, checked at every report; never inside
   * this call.
   */
  WaiterNumber Await(std::function<bool()> aIsDue,
                     std::function<void()> aCallback);
  void Forget(WaiterNumber aWaiter);

  /** The group as operators see it. */
  boost::json::object ToJson() const;

private:
  struct DatabaseEntry
  {
    Membership::Database info;
    std::unique_ptr<DatabaseGate> gate;
    bool isReachable = true;
    Core::TimerHandle pollTimer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    ~DatabaseEntry() { *alive = false; }
  };
  struct Waiter
  {
    std::function<bool()> isDue;
    std::function<void()> callback;
  };

  GateLimits LimitsOf(const Membership::Database& aDatabase) const;
  void AddDatabase(const Membership::Database& aDatabase);
  void Poll(const std::string& aDatabase);
  void TakePoll(const std::string& aDatabase,
                const std::optional<Endpoint::DatabaseReport>& aReport,
                Core::Instant aRequestedAt);
  void CheckWaiters();
  void ExpireLedger();
  void RunExpiry(const std::string& aDatabase,
                 const Endpoint::Batch& aBatch,
                 const ConnectionHandle& aConnection);

  HomeContext& context_;
  std::string name_;
  SettingsHandle settings_;
  Endpoint::GroupBook book_;
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
