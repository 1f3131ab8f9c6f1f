#include <LibPooler/Node.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** The system's own rows. */
constexpr std::string_view kDutyKey = "duty/failover";
constexpr std::string_view kGroupPrefix = "group/";
constexpr std::string_view kMemberPrefix = "member/";

/** How often leases and groups are looked at. */
constexpr Core::Duration kTickInterval = std::chrono::milliseconds(50);

/** How often the age of the newest sample is looked at. */
constexpr Core::Duration kSampleInterval = std::chrono::milliseconds(250);

/** The primary is asked when no answer of it is younger than this. */
constexpr Core::Duration kSampleAge = std::chrono::milliseconds(500);

/** An answer to the question for a sample is given up after this. */
constexpr Core::Duration kSampleTimeout = std::chrono::milliseconds(1000);

/** A node that knows nothing new for this long sends its clients elsewhere. */
constexpr Core::Duration kBlindLimit = std::chrono::milliseconds(2500);

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

} // namespace

Node::Node(Core::Scheduler& aScheduler,
           NodeSettings aSettings,
           Sql::DatabaseDialer& aDialer,
           Authority::CoordinationStore& aStore,
           Promoter& aPromoter,
           Metrics::Registry& aMetrics,
           LogSink aLog)
  : scheduler_(aScheduler)
  , settings_(std::move(aSettings))
  , dialer_(aDialer)
  , store_(aStore)
  , promoter_(aPromoter)
  , metrics_(aMetrics)
  , log_(std::move(aLog))
  , control_(aScheduler, aDialer)
  , duty_(std::string(kDutyKey),
          settings_.name + '#' + settings_.incarnation,
          settings_.duty)
  , tick_(aScheduler.Every(kTickInterval, [this] { Tick(); }))
  , sampler_(aScheduler.Every(kSampleInterval, [this] { KeepSamplesFresh(); }))
{
}

Node::~Node() = default;

void
Node::Log(std::string_view aWhat, boost::json::object aFacts)
{
  log_(aWhat, std::move(aFacts));
}

void
Node::ApplyConfiguration(Configuration aConfiguration)
{
  if (hasConfiguration_ && aConfiguration.version <= configuration_.version)
    return;
  Log("configuration_applied",
      { { "version", aConfiguration.version },
        { "before", configuration_.version },
        { "routes", aConfiguration.routes.size() } });
  configuration_ = std::move(aConfiguration);
  hasConfiguration_ = true;
  for (const auto& [group, limit] : configuration_.maxConnections)
    FindOrAddGroup(group);
  ShareDatabases();
  ShareConnections();
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
    Log("database_listed",
        { { "database", id },
          { "group", database.group },
          { "new", isNew },
          { "leaving", database.isLeaving } });
  }
  for (const auto& [id, database] : databases_) {
    if (!aDatabases.contains(id))
      Log("database_gone", { { "database", id }, { "group", database.group } });
  }
  databases_ = std::move(aDatabases);
  hasDatabases_ = true;
  control_.SetDatabases(databases_);
  ShareDatabases();
}

Node::Group&
Node::FindOrAddGroup(const std::string& aName)
{
  Group& group = groups_[aName];
  if (group.router != nullptr)
    return group;
  group.router = std::make_unique<GroupRouter>(scheduler_,
                                               dialer_,
                                               aName,
                                               settings_.dataCentre,
                                               settings_.authorityLease);
  Authority::SupervisorPort& port = *this;
  group.supervisor = std::make_unique<Authority::GroupSupervisor>(
    scheduler_, port, aName, settings_.supervisor);
  return group;
}

void
Node::ShareDatabases()
{
  for (auto& [name, group] : groups_) {
    std::vector<Database> databases;
    std::vector<Authority::SupervisedDatabase> supervised;
    for (const auto& [id, database] : databases_) {
      if (database.group != name)
        continue;
      databases.push_back(database);
      supervised.push_back({ id, database.dataCentre, database.isLeaving });
    }
    group.router->SetDatabases(databases);
    group.supervisor->SetDatabases(std::move(supervised));
  }
}

void
Node::ShareConnections()
{
  const auto nodes = static_cast<double>(std::max<std::size_t>(
    members_.size(), 1));
  for (auto& [name, group] : groups_) {
    const auto limit = configuration_.maxConnections.find(name);
    if (limit == configuration_.maxConnections.end())
      continue;
    const double share = limit->second * settings_.connectionShare / nodes;
    group.router->SetConnectionLimit(static_cast<int>(share));
  }
}

void
Node::ApplyAllRows(const std::vector<Authority::StoredRow>& aRows,
                   Core::Instant aAskedAt)
{
  members_.clear();
  bool hasDuty = false;
  for (const Authority::StoredRow& row : aRows) {
    hasDuty = hasDuty || row.key == kDutyKey;
    ApplyRow(row, aAskedAt);
  }
  if (!hasDuty)
    duty_.Observe({ std::string(kDutyKey), "", 0 }, scheduler_.Now());
  hasRows_ = true;
  renewedAt_ = std::max(renewedAt_, aAskedAt);
  RegisterMember();
  ShareConnections();
}

void
Node::ApplyChangedRows(const std::vector<Authority::StoredRow>& aRows,
                       Core::Instant aAskedAt)
{
  for (const Authority::StoredRow& row : aRows)
    ApplyRow(row, aAskedAt);
  renewedAt_ = std::max(renewedAt_, aAskedAt);
  for (auto& [name, group] : groups_)
    group.router->RenewAuthority(aAskedAt);
  if (!aRows.empty())
    ShareConnections();
}

void
Node::ApplyRow(const Authority::StoredRow& aRow, Core::Instant aAskedAt)
{
  if (aRow.key == kDutyKey) {
    const std::string before = duty_.Holder();
    duty_.Observe(aRow, scheduler_.Now());
    if (duty_.Holder() != before)
      Log("duty_holder",
          { { "holder", duty_.Holder() }, { "version", aRow.version } });
    return;
  }
  if (StartsWith(aRow.key, kGroupPrefix)) {
    ApplyGroupRow(aRow, aAskedAt);
    return;
  }
  if (!StartsWith(aRow.key, kMemberPrefix))
    return;
  const std::string member = aRow.key.substr(kMemberPrefix.size());
  if (aRow.value.empty())
    members_.erase(member);
  else
    members_.insert(member);
}

void
Node::ApplyGroupRow(const Authority::StoredRow& aRow, Core::Instant aAskedAt)
{
  const std::string name = aRow.key.substr(kGroupPrefix.size());
  Core::LastReason reason;
  auto record = Authority::GroupRecord::Parse(name, aRow.value, reason);
  if (!record) {
    Log("group_record_unreadable", { { "reason", reason.Text() } });
    return;
  }
  record->version = aRow.version;
  Group& group = FindOrAddGroup(name);
  const auto& known = group.router->Authority().Record();
  if (!known || known->version < record->version)
    Log("group_record",
        { { "group", name },
          { "primary", record->primary },
          { "term", record->term },
          { "changing", record->change.has_value() },
          { "version", record->version } });
  group.router->ObserveRecord(*record, aAskedAt);
  group.supervisor->SetRecord(group.router->Authority().Record());
}

bool
Node::IsReady() const
{
  return hasConfiguration_ && hasDatabases_ && hasRows_ && !isStopping_ &&
         scheduler_.Now() - renewedAt_ < kBlindLimit;
}

void
Node::RegisterMember()
{
  if (members_.contains(settings_.name) || isRegistering_ || isStopping_)
    return;
  isRegistering_ = true;
  store_.Write({ std::string(kMemberPrefix) + settings_.name,
                 settings_.incarnation,
                 0 },
               [this](const Authority::WriteOutcome& aOutcome) {
                 isRegistering_ = false;
                 if (aOutcome.result == Authority::WriteResult::Applied)
                   members_.insert(settings_.name);
                 ShareConnections();
               });
}

void
Node::BeginStop()
{
  if (isStopping_)
    return;
  isStopping_ = true;
  const auto release = duty_.Release(scheduler_.Now());
  if (!release)
    return;
  store_.Write(*release, [this](const Authority::WriteOutcome& aOutcome) {
    Log("duty_released",
        { { "result",
            Authority::kWriteResultNames.NameOf(aOutcome.result) } });
  });
}

void
Node::Tick()
{
  WriteDuty();
  for (auto& [name, group] : groups_)
    group.supervisor->Tick();
}

void
Node::WriteDuty()
{
  // A node without the configuration can do nothing with the duty.
  if (!hasConfiguration_ || !hasDatabases_)
    return;
  const Core::Instant now = scheduler_.Now();
  const auto row = duty_.NextWrite(now);
  if (!row)
    return;
  store_.Write(*row, [this, now](const Authority::WriteOutcome& aOutcome) {
    const std::uint64_t before = duty_.Token();
    duty_.OnWritten(aOutcome, now);
    if (duty_.Token() != before)
      Log("duty_acquired", { { "token", duty_.Token() } });
  });
}

void
Node::KeepSamplesFresh()
{
  const Core::Instant now = scheduler_.Now();
  for (auto& [name, group] : groups_) {
    const auto newest = group.router->Samples().Newest();
    const bool isFresh = newest && now - *newest < kSampleAge;
    if (!isFresh && !sampling_.contains(name))
      SampleGroup(*group.router);
  }
}

void
Node::SampleGroup(GroupRouter& aRouter)
{
  const auto choice = aRouter.Choose({});
  if (!choice)
    return;
  sampling_.insert(aRouter.Name());
  const auto finish = [this, name = aRouter.Name()] { sampling_.erase(name); };
  const Core::Instant now = scheduler_.Now();
  choice->pool->Acquire(
    now,
    {},
    [this, &aRouter, finish, choice = *choice](
      const PooledConnectionHandle& aConnection, PoolRefusal) {
      const Core::Instant sentAt = scheduler_.Now();
      if (aConnection == nullptr) {
        finish();
        return;
      }
      const bool holds =
        aRouter.Authority().HoldsFor(choice.term, sentAt);
      choice.pool->RunAndRelease(
        aConnection,
        { .kind = Sql::CommandKind::Status },
        kSampleTimeout,
        [&aRouter, finish, sentAt, holds](const Sql::DatabaseReply& aReply) {
          finish();
          if (holds && aReply.IsSuccess() && aReply.position)
            aRouter.AddSample(sentAt, *aReply.position);
        });
    });
}

const Route*
Node::FindRoute(std::string_view aDatabase) const
{
  const auto route = configuration_.routes.find(aDatabase);
  return route == configuration_.routes.end() ? nullptr : &route->second;
}

GroupRouter*
Node::FindRouter(const std::string& aGroup)
{
  const auto group = groups_.find(aGroup);
  return group == groups_.end() ? nullptr : group->second.router.get();
}

Core::Duration
Node::TransactionIdleTimeout() const
{
  return configuration_.transactionIdleTimeout;
}

void
Node::Report(const StatementReport& aReport)
{
  const StatementResult& result = aReport.result;
  const std::string_view outcome =
    result.error ? Sql::kErrorCodeNames.NameOf(result.error->code) : "ok";
  metrics_.Count("statements_total{outcome=\"" + std::string(outcome) + "\"}");
  metrics_.Record("statement_seconds", aReport.latency);
  if (!result.error)
    metrics_.Count(result.ranAtReplica ? "served_at_replica_total"
                                       : "served_at_primary_total");
  const bool isLate = aReport.latency > aReport.route->targetLatency;
  if (!result.error && !isLate && result.attempts <= 1)
    return;
  Log("statement",
      { { "request", aReport.statement.requestId },
        { "kind", Sql::kStatementKindNames.NameOf(aReport.statement.kind) },
        { "route", aReport.route->name },
        { "group", aReport.route->group },
        { "database", result.database },
        { "in_transaction", aReport.isInTransaction },
        { "attempts", result.attempts },
        { "sent", result.wasSent },
        { "ms", Core::ToMilliseconds(aReport.latency) },
        { "configuration", configuration_.version },
        { "outcome", outcome },
        { "reason", result.error ? result.error->text : "" } });
}

void
Node::UpdateGauges()
{
  metrics_.Set("members", static_cast<std::int64_t>(members_.size()));
  metrics_.Set("configuration_version",
               static_cast<std::int64_t>(configuration_.version));
  metrics_.Set("holds_duty", HoldsDuty(Core::Duration::zero()) ? 1 : 0);
  for (const auto& [name, group] : groups_) {
    const std::string label = "{group=\"" + name + "\"}";
    metrics_.Set(
      "authority" + label,
      group.router->Authority().Holds(scheduler_.Now()) ? 1 : 0);
    for (const auto& [id, pool] : group.router->Pools()) {
      const std::string of = "{database=\"" + id + "\"}";
      metrics_.Set("connections_open" + of, pool->Open());
      metrics_.Set("connections_used" + of, pool->InUse());
      metrics_.Set("connections_waiting" + of, pool->Waiting());
    }
  }
}

bool
Node::HoldsDuty(Core::Duration aMargin) const
{
  return duty_.HoldsFor(scheduler_.Now(), aMargin);
}

void
Node::Probe(const std::string& aId, Core::Duration aTimeout, ProbeHandler aDone)
{
  control_.Ask(
    aId, { .kind = Sql::CommandKind::Status }, aTimeout, std::move(aDone));
}

void
Node::StepDown(const std::string& aId,
               Session::Term aTerm,
               Core::Duration aTimeout,
               ProbeHandler aDone)
{
  Sql::DatabaseCommand command;
  command.kind = Sql::CommandKind::StepDown;
  command.term = aTerm;
  control_.Ask(aId, command, aTimeout, std::move(aDone));
}

void
Node::Promote(const std::string& aGroup,
              const std::string& aId,
              Core::Duration aTimeout,
              std::function<void(Authority::PromoteResult)> aDone)
{
  promoter_.Promote(
    { aGroup, aId, settings_.name, duty_.Token(), aTimeout }, std::move(aDone));
}

void
Node::WriteRecord(const Authority::GroupRecord& aRecord,
                  std::function<void(Authority::WriteOutcome)> aDone)
{
  const Core::Instant askedAt = scheduler_.Now();
  store_.Write(
    { std::string(kGroupPrefix) + aRecord.group,
      aRecord.ToText(),
      aRecord.version },
    [this, record = aRecord, askedAt, done = std::move(aDone)](
      const Authority::WriteOutcome& aOutcome) {
      if (aOutcome.result == Authority::WriteResult::Applied) {
        // What was written is known as surely as what was read.
        Authority::GroupRecord written = record;
        written.version = aOutcome.version;
        FindOrAddGroup(record.group).router->ObserveRecord(written, askedAt);
      }
      done(aOutcome);
    });
}

void
Node::RevokeEverywhere(const Authority::GroupRecord&, std::function<void()>)
{
  // Other nodes learn of the change from the store; the lease is waited out.
}

} // namespace Pooler
