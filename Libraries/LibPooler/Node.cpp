#include <LibPooler/Node.h>

#include <LibPooler/PoolOwners.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** The key prefix of group records; members have their own prefix. */
constexpr std::string_view kGroupPrefix = "group/";

/** Counts rows of the system's own table that can't be read. */
constexpr const char* kUnreadableRows = "rows_unreadable_total{table=\"own\"}";

/** How often the node checks leases, groups and overload. */
constexpr Core::Duration kTickInterval = std::chrono::milliseconds(50);

/** A primary that has responded within this time counts as reached. */
constexpr Core::Duration kMaxReachedAge = std::chrono::milliseconds(700);

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

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

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

void
Node::ApplyOwnRows(const Authority::FollowedRows& aRows)
{
  if (aRows.isSnapshot) {
    duty_.OnSnapshotBegins(aRows.version);
    membership_.BeginReload();
  }
  for (const Authority::StoredRow& row : aRows.rows)
    ApplyMemberRow(row);
  // These rows may show that this node is expelled, and so isn't asked before a
  // primary is replaced. Then they grant no authority.
  membership_.CheckSelf();
  // Statements that wait for authority run as soon as it is granted, with the
  // connections that this node may open by then.
  if (!aRows.rows.empty())
    UpdateConnectionShares();
  const bool mayGrantAuthority = membership_.CoversRequest(aRows.requestedAt);
  const Core::Instant requestedAt =
    mayGrantAuthority ? aRows.requestedAt : Authority::kNoRequestTime;
  for (const Authority::StoredRow& row : aRows.rows)
    ApplyGroupRow(row, requestedAt);
  if (aRows.isSnapshot)
    NoteForgottenRecords(aRows.version);
  hasRows_ = true;
  lastStoreRequestAt_ = std::max(lastStoreRequestAt_, aRows.requestedAt);
  for (auto& [name, router] : routers_)
    router->RenewAuthority(requestedAt);
  duty_.OnRowsApplied(aRows.version);
  if (!aRows.rows.empty())
    UpdateRelays();
}

void
Node::NoteForgottenRecords(std::uint64_t aVersion)
{
  const std::uint64_t era = Authority::StoreEraOf(aVersion);
  for (auto& [name, router] : routers_) {
    const auto& known = router->Authority().Record();
    if (!known || Authority::StoreEraOf(known->version) >= era)
      continue;
    Authority::GroupRecord missing = *known;
    missing.version = Authority::MakeStoreVersion(era, 0);
    Observe(missing, Authority::kNoRequestTime);
  }
}

void
Node::ApplyMemberRow(const Authority::StoredRow& aRow)
{
  if (StartsWith(aRow.key, MemberRoster::kKeyPrefix) &&
      !membership_.Apply(aRow))
    metrics_.Count(kUnreadableRows);
}

void
Node::ApplyGroupRow(const Authority::StoredRow& aRow,
                    Core::Instant aRequestedAt)
{
  if (!StartsWith(aRow.key, kGroupPrefix))
    return;
  const std::string name = aRow.key.substr(kGroupPrefix.size());
  Core::LastReason reason;
  auto record = Authority::GroupRecord::Parse(name, aRow.value, reason);
  if (!record) {
    metrics_.Count(kUnreadableRows);
    log_("group_record_unreadable", { { "reason", reason.Text() } });
    NoteOverwrittenRecord(name, aRow.version);
    return;
  }
  record->version = aRow.version;
  Observe(*record, aRequestedAt);
}

void
Node::NoteOverwrittenRecord(const std::string& aGroup, std::uint64_t aVersion)
{
  // A group without a router was never configured, nor had a record.
  const GroupRouter* router = FindRouter(aGroup);
  if (router == nullptr)
    return;
  duty_.SetUnreadable(aGroup, aVersion);
  const auto& known = router->Authority().Record();
  if (!known)
    return;
  Authority::GroupRecord overwritten = *known;
  overwritten.version = aVersion;
  overwritten.isOverwritten = true;
  Observe(overwritten, Authority::kNoRequestTime);
}

void
Node::Observe(const Authority::GroupRecord& aRecord, Core::Instant aRequestedAt)
{
  GroupRouter& router = RouterOf(aRecord.group);
  const bool isNew = router.ObserveRecord(aRecord, aRequestedAt);
  const Authority::GroupRecord& known = *router.Authority().Record();
  if (isNew)
    log_("group_record",
         { { "group", known.group },
           { "primary", known.primary },
           { "term", known.term },
           { "changing", known.change.has_value() },
           { "version", known.version },
           { "of_current_era", known.IsOfCurrentEra() } });
  duty_.SetRecord(known);
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

bool
Node::IsNotifiedOfChanges() const
{
  if (duty_.Holds())
    return duty_.KnowsAllChanges() && membership_.HasResponsiveMembers();
  return scheduler_.Now() - Membership::kHeartbeatTimeout < holderConfirmedAt_;
}

void
Node::FetchRecordsFromPeer()
{
  const std::vector<Member> others = membership_.Others();
  if (isFetchingFromPeer_ || others.empty())
    return;
  isFetchingFromPeer_ = true;
  const Core::Instant requestedAt = scheduler_.Now();
  links_.peers.FetchRecords(
    others[nextPeer_++ % others.size()],
    memberKey_,
    [this, requestedAt](const std::vector<RelayedRecord>& aRecords) {
      isFetchingFromPeer_ = false;
      OnRelayedRecords(aRecords, requestedAt);
    });
}

void
Node::OnRelayedRecords(const std::vector<RelayedRecord>& aRecords,
                       Core::Instant aRequestedAt)
{
  for (const RelayedRecord& relayed : aRecords) {
    // The peer responded after aRequestedAt, so counting the age back from
    // aRequestedAt gives a time no later than the peer's store request.
    Core::Instant requestedAt = Authority::kNoRequestTime;
    if (relayed.age && membership_.CoversRequest(aRequestedAt - *relayed.age))
      requestedAt = aRequestedAt - *relayed.age;
    Observe(relayed.record, requestedAt);
  }
}

void
Node::RenewByHeartbeat(const Heartbeat& aHeartbeat)
{
  const bool isAddressee = aHeartbeat.receiver == memberKey_;
  if (!isAddressee || !aHeartbeat.echo || !aHeartbeat.newestRecord ||
      !membership_.CoversRequest(*aHeartbeat.echo))
    return;
  holderConfirmedAt_ = scheduler_.Now();
  const RecordVersions& records = duty_.Records();
  const bool hasNewest = records.Newest() == *aHeartbeat.newestRecord;
  // A node may lack one group's record and know a later one of another group.
  const bool hasAll =
    hasNewest &&
    records.Digest() == aHeartbeat.recordsDigest.value_or(records.Digest());
  const bool mayLackRecords =
    records.Newest() < *aHeartbeat.newestRecord || (hasNewest && !hasAll);
  if (mayLackRecords && feeds_ != nullptr)
    feeds_->RefreshOwnRows();
  if (!hasAll)
    return;
  for (auto& [name, router] : routers_)
    router->RenewAuthority(*aHeartbeat.echo);
}

HeartbeatResponse
Node::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  membership_.OnHeartbeat(aHeartbeat);
  quotas_.OnHeartbeat(aHeartbeat);
  RenewByHeartbeat(aHeartbeat);
  keys_.OnHeartbeat(aHeartbeat, memberKey_, configuration_, scheduler_.Now());
  HeartbeatResponse response;
  if (feeds_ != nullptr) {
    feeds_->OnSeenByPeer(aHeartbeat.seen);
    response.seen = feeds_->Seen();
  }
  const Core::Instant now = scheduler_.Now();
  response.delivery = PeerDelivery::Answered;
  response.clock = now;
  response.overloadedGroups = overload_.Overloaded();
  for (const auto& [name, router] : routers_) {
    const auto newest = router->Samples().Newest();
    if (newest && now - *newest < kMaxReachedAge)
      response.reachedGroups.insert(name);
  }
  return response;
}

void
Node::OnRecord(const Authority::GroupRecord& aRecord)
{
  Observe(aRecord, Authority::kNoRequestTime);
}

std::vector<RelayedRecord>
Node::RecordsFor(const std::string& aMemberKey) const
{
  const Member* requester = membership_.Roster().Find(aMemberKey);
  const bool isMember = requester != nullptr && !requester->isExpelled;
  const Core::Instant now = scheduler_.Now();
  std::vector<RelayedRecord> records;
  for (const auto& [name, router] : routers_) {
    const Authority::PrimaryAuthority& authority = router->Authority();
    if (!authority.Record())
      continue;
    RelayedRecord relayed{ *authority.Record(), std::nullopt };
    if (isMember && authority.Holds(now))
      relayed.age = now - authority.RequestedAt();
    records.push_back(std::move(relayed));
  }
  return records;
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
