#include <LibPooler/Node.h>

#include <LibPooler/PoolOwners.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** How often the node checks leases, groups and overload. */
constexpr Core::Duration kTickInterval = std::chrono::milliseconds(50);

/**
 * Without a response of the store for this long, a node requests the records
 * from a peer.
 */
constexpr Core::Duration kStoreTimeout = std::chrono::milliseconds(3500);

/**
 * The node that serves a client ends the client's idle transactions and timed
 * out statements. If it has checked out the connection from another node, that
 * node waits this much longer before it closes the connection.
 */
constexpr Core::Duration kCheckoutMargin = std::chrono::milliseconds(1000);

/**
 * How long a borrowed connection may be idle if transactions have no idle
 * timeout. Limits how long a stopped or partitioned node can keep one.
 */
constexpr Core::Duration kMaxCheckoutIdle = std::chrono::seconds(30);

} // namespace

Node::Node(Core::Scheduler& aScheduler,
           NodeSettings aSettings,
           NodeLinks aLinks,
           Metrics::Registry& aMetrics,
           LogSink aLog)
  : scheduler_(aScheduler)
  , settings_(std::move(aSettings))
  , links_(aLinks)
  , metrics_(aMetrics)
  , log_(std::move(aLog))
  , memberKey_(settings_.self.Key())
  , membership_(aScheduler,
                aLinks.store,
                aLinks.peers,
                settings_.self,
                settings_.authorityLease.fenced,
                log_)
  , duty_(
      aScheduler,
      settings_.duty,
      aLinks.dialer,
      aLinks.store,
      aLinks.promoter,
      aLinks.peers,
      membership_,
      [this](const Authority::GroupRecord& aRecord,
             Core::Instant aRequestedAt) { Observe(aRecord, aRequestedAt); },
      log_)
  , quotas_(aScheduler,
            aLinks.peers,
            membership_.Roster(),
            memberKey_,
            settings_.quotaTolerance,
            duty_,
            log_)
  , remotePools_(aScheduler,
                 aLinks.checkouts,
                 settings_.self.dataCentre,
                 aMetrics,
                 log_)
  , keys_(settings_.keys, aMetrics, log_)
  , samples_(aScheduler, aLinks.dialer, routers_)
  , poolReporter_(aScheduler, routers_, aMetrics, log_)
  , overload_(aScheduler, routers_, log_)
  , statementLog_(aScheduler, aMetrics, log_)
  , capacity_(aScheduler, routers_, aMetrics, log_)
  , tick_(aScheduler.Every(kTickInterval, [this] { Tick(); }))
{
  remotePools_.SetSelf(memberKey_);
}

Node::~Node() = default;

void
Node::SetAddresses(MemberAddresses aAddresses)
{
  membership_.SetAddresses(std::move(aAddresses));
}

void
Node::Register(std::function<void()> aDone)
{
  membership_.Register(std::move(aDone));
}

void
Node::ApplyConfiguration(Configuration aConfiguration)
{
  if (hasConfiguration_ && aConfiguration.version <= configuration_.version)
    return;
  log_("configuration_applied",
       { { "version", aConfiguration.version },
         { "before", configuration_.version },
         { "routes", aConfiguration.routes.size() } });
  configuration_ = std::move(aConfiguration);
  hasConfiguration_ = true;
  longestStatement_ = Core::Duration::zero();
  for (const auto& [database, route] : configuration_.routes)
    longestStatement_ = std::max(longestStatement_, route.statementTimeout);
  GroupSettingsMap groups = configuration_.groups;
  for (const auto& [database, route] : configuration_.routes)
    groups.try_emplace(route.group);
  for (const auto& [group, settings] : groups)
    RouterOf(group).SetLeavingTime(LeavingTimeOf(settings));
  duty_.SetGroups(std::move(groups));
  quotas_.ApplyConfiguration(configuration_);
  UpdateRouterGoals();
  UpdateRouterDatabases();
  UpdateConnectionShares();
}

std::optional<Core::Duration>
Node::LeavingTimeOf(const GroupSettings& aSettings) const
{
  if (aSettings.syncReplicas == 0)
    return std::nullopt;
  return settings_.duty.supervisor.leavingTime;
}

void
Node::ApplyDatabases(DatabaseList aDatabases)
{
  for (const auto& [id, database] : aDatabases) {
    const auto before = databases_.find(id);
    const bool isNew = before == databases_.end();
    if (!isNew && before->second.isLeaving == database.isLeaving &&
        before->second.startedAt == database.startedAt)
      continue;
    log_("database_listed",
         { { "database", id },
           { "group", database.group },
           { "new", isNew },
           { "leaving", database.isLeaving } });
  }
  for (const auto& [id, database] : databases_) {
    if (!aDatabases.contains(id))
      log_("database_gone",
           { { "database", id }, { "group", database.group } });
  }
  databases_ = std::move(aDatabases);
  hasDatabases_ = true;
  duty_.SetDatabases(databases_);
  UpdateRouterDatabases();
}

GroupRouter&
Node::RouterOf(const std::string& aName)
{
  auto& router = routers_[aName];
  if (router != nullptr)
    return *router;
  router = std::make_unique<GroupRouter>(scheduler_,
                                         links_.dialer,
                                         aName,
                                         settings_.self.dataCentre,
                                         settings_.authorityLease,
                                         &remotePools_);
  if (settings_.learnsCapacity)
    router->LearnCapacity();
  return *router;
}

void
Node::UpdateRouterDatabases()
{
  for (auto& [name, router] : routers_) {
    std::vector<Database> databases;
    for (const auto& [id, database] : databases_) {
      if (database.group == name)
        databases.push_back(database);
    }
    router->SetDatabases(databases);
  }
}

void
Node::UpdateConnectionShares()
{
  const std::vector<Member> present = membership_.Roster().Present();
  std::size_t groupIndex = 0;
  for (auto& [name, router] : routers_)
    UpdateConnectionShare(*router, present, groupIndex++);
}

void
Node::UpdateConnectionShare(GroupRouter& aRouter,
                            const std::vector<Member>& aPresent,
                            std::size_t aGroupIndex)
{
  const auto group = configuration_.groups.find(aRouter.Name());
  if (group == configuration_.groups.end())
    return;
  if (aPresent.empty()) {
    // The other members aren't known yet, nor the share of the connections.
    aRouter.SetConnectionLimit(0);
    return;
  }
  const auto usable =
    static_cast<int>(group->second.maxConnections * settings_.connectionShare);
  ConnectionShare share =
    ShareOf(aRouter.Name(), aPresent, memberKey_, usable, aGroupIndex);
  const bool isShared = !share.owners.empty();
  if (aRouter.ConnectionLimit() != share.connections)
    log_("connections_shared",
         { { "group", aRouter.Name() },
           { "share", share.connections },
           { "owners", share.owners.size() },
           { "members", aPresent.size() } });
  samples_.SetShared(aRouter.Name(), isShared && share.connections > 0);
  duty_.SetOwnerCount(aRouter.Name(), share.owners.size());
  remotePools_.SetOwners(aRouter.Name(), std::move(share.owners));
  aRouter.SetConnectionLimit(share.connections);
}

Core::Duration
Node::CheckoutResponseTimeout() const
{
  return longestStatement_ + kCheckoutMargin;
}

void
Node::UpdateRouterGoals()
{
  std::map<std::string, GroupGoals> goals;
  for (const auto& [database, route] : configuration_.routes) {
    GroupGoals& goal = goals[route.group];
    goal.longestStaleness = std::max(goal.longestStaleness, route.maxStaleness);
    goal.shortestTargetLatency =
      std::min(goal.shortestTargetLatency, route.targetLatency);
  }
  for (auto& [name, router] : routers_)
    router->SetGoals(goals[name]);
}

std::shared_ptr<ConnectionPool>
Node::OwnPool(const std::string& aDatabase)
{
  const auto database = databases_.find(aDatabase);
  if (isStopping_ || database == databases_.end())
    return nullptr;
  const GroupRouter* router = FindRouter(database->second.group);
  if (router == nullptr)
    return nullptr;
  const auto pool = router->Pools().find(aDatabase);
  const bool isOwner = pool != router->Pools().end() && pool->second->IsOwner();
  return isOwner ? pool->second : nullptr;
}

std::optional<RelayedSample>
Node::NewestSample(const std::string& aDatabase) const
{
  const auto database = databases_.find(aDatabase);
  if (database == databases_.end())
    return std::nullopt;
  const auto router = routers_.find(database->second.group);
  if (router == routers_.end())
    return std::nullopt;
  const auto sample = router->second->Samples().NewestSample();
  if (!sample)
    return std::nullopt;
  return RelayedSample{ scheduler_.Now() - sample->sentAt, sample->position };
}

SlowDatabases
Node::SlowDatabasesBeside(const std::string& aDatabase) const
{
  const auto database = databases_.find(aDatabase);
  if (database == databases_.end())
    return {};
  const auto router = routers_.find(database->second.group);
  return router == routers_.end() ? SlowDatabases{}
                                  : router->second->LearnedSlow();
}

Core::Duration
Node::CheckoutIdleTimeout() const
{
  const Core::Duration idleTimeout = configuration_.transactionIdleTimeout;
  return idleTimeout == Core::Duration::zero() ? kMaxCheckoutIdle
                                               : idleTimeout + kCheckoutMargin;
}

void
Node::UpdateRelays()
{
  std::vector<Wire::Address> relays;
  for (const Member& member : membership_.Roster().Present()) {
    if (member.Key() != memberKey_)
      relays.push_back(member.addresses.relay);
  }
  links_.relays.SetRelays(std::move(relays));
}

std::optional<Wire::Address>
Node::AddressOf(const std::string& aDatabase) const
{
  const auto database = databases_.find(aDatabase);
  if (database == databases_.end())
    return std::nullopt;
  return Wire::Address{ database->second.host, database->second.port };
}

bool
Node::IsReady() const
{
  if (!hasConfiguration_ || !hasDatabases_ || !hasRows_ || isStopping_)
    return false;
  if (keys_.RefusesAll(configuration_, scheduler_.Now()))
    return false;
  // A node without authority over any primary is isolated from the other nodes
  // and the store, unless a change of primary is in progress.
  return std::any_of(
    routers_.begin(), routers_.end(), [this](const auto& aEntry) {
      const auto& record = aEntry.second->Authority().Record();
      return (record && record->change) ||
             aEntry.second->Authority().Holds(scheduler_.Now());
    });
}

void
Node::BeginStop()
{
  isStopping_ = true;
  duty_.Release();
}

void
Node::Leave(std::function<void()> aDone)
{
  membership_.Leave(std::move(aDone));
}

void
Node::Tick()
{
  ExchangeSeenVersions();
  MaintainProof();
  overload_.Tick();
  if (settings_.learnsCapacity)
    capacity_.Tick();
  duty_.SetOverloaded(overload_.Overloaded());
  duty_.Tick();
  quotas_.Tick();
  if (duty_.KnowsAllChanges() && membership_.CoversRequest(scheduler_.Now())) {
    for (auto& [name, router] : routers_)
      router->RenewAuthority(scheduler_.Now());
  }
  for (const auto& [name, router] : routers_) {
    if (const auto newest = router->Samples().NewestSample())
      duty_.ReportPrimaryAlive(name, *newest);
  }
  const bool isStoreSilent =
    scheduler_.Now() - kStoreTimeout > lastStoreRequestAt_ && hasRows_;
  if (isStoreSilent && !IsNotifiedOfChanges())
    FetchRecordsFromPeer();
}

void
Node::ExchangeSeenVersions()
{
  if (feeds_ == nullptr)
    return;
  feeds_->CheckForMissedRows(duty_.Holds());
  if (!duty_.Holds())
    return;
  duty_.SetSeen(feeds_->Seen());
  feeds_->OnSeenByPeer(membership_.SeenByOthers());
  if (duty_.AwaitsRows())
    feeds_->RefreshOwnRows();
}

void
Node::MaintainProof()
{
  if (feeds_ == nullptr)
    return;
  const bool isDue = keys_.Maintain(
    configuration_, feeds_->ConfigurationProvenAt(), scheduler_.Now());
  if (isDue)
    feeds_->RefreshConfiguration();
  membership_.SetProvenConfiguration(configuration_.version,
                                     keys_.ProvenAt(configuration_));
}

const Route*
Node::FindRoute(std::string_view aDatabase) const
{
  const auto route = configuration_.routes.find(aDatabase);
  return route == configuration_.routes.end() ? nullptr : &route->second;
}

Access
Node::CheckAccess(const Route& aRoute, std::string_view aKey) const
{
  return keys_.Check(configuration_, aRoute, aKey, scheduler_.Now());
}

GroupRouter*
Node::FindRouter(const std::string& aGroup)
{
  const auto router = routers_.find(aGroup);
  return router == routers_.end() ? nullptr : router->second.get();
}

Core::Duration
Node::TransactionIdleTimeout() const
{
  return configuration_.transactionIdleTimeout;
}

void
Node::Report(const StatementReport& aReport)
{
  statementLog_.Add(aReport, configuration_.version);
}

void
Node::UpdateGauges()
{
  metrics_.Set(
    "members",
    static_cast<std::int64_t>(membership_.Roster().Present().size()));
  metrics_.Set("configuration_version",
               static_cast<std::int64_t>(configuration_.version));
  metrics_.Set("holds_duty", duty_.Holds() ? 1 : 0);
  metrics_.Set("primary_choices_waiting",
               static_cast<std::int64_t>(duty_.WaitingChoices()));
  keys_.UpdateGauges(configuration_, scheduler_.Now());
  quotas_.UpdateGauges(metrics_);
  for (const auto& [name, router] : routers_) {
    const std::string label = "{group=\"" + name + "\"}";
    metrics_.Set("authority" + label,
                 router->Authority().Holds(scheduler_.Now()) ? 1 : 0);
    for (const auto& [id, pool] : router->Pools()) {
      const std::string of = "{database=\"" + id + "\"}";
      metrics_.Set("connections_open" + of, pool->Open());
      metrics_.Set("connections_used" + of, pool->InUse());
      metrics_.Set("connections_waiting" + of, pool->Waiting());
    }
  }
  capacity_.UpdateGauges();
}

} // namespace Pooler
