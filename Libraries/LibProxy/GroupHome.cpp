#include <LibProxy/GroupHome.h>

#include "RunnerSupport.h"

#include <LibCore/Log.h>
#include <LibRequest/Ledger.h>

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/** A database without changes replies to a long poll after this time. */
constexpr Core::Duration kPollWait = std::chrono::milliseconds(200);
/** Pause before a failed poll is retried. */
constexpr Core::Duration kPollRetryPause = std::chrono::milliseconds(50);
constexpr Core::Duration kPollTimeout = std::chrono::milliseconds(300);
/** Interval at which expired ledger rows are deleted. */
constexpr Core::Duration kLedgerSweepPeriod = std::chrono::seconds(30);
constexpr std::int64_t kHundredPercent = 100;

} // namespace

GroupHome::GroupHome(HomeContext& aContext, std::string aGroup)
  : context_(aContext)
  , name_(std::move(aGroup))
  , settings_(std::make_shared<Settings::FleetSettings>())
  , state_({})
  , retries_(0)
  , ledgerTimer_(aContext.loop.Every(kLedgerSweepPeriod,
                                     [this] { DeleteExpiredLedgerRows(); }))
{
}

GroupHome::~GroupHome()
{
  *alive_ = false;
}

Settings::Scope
GroupHome::ScopeOf(const std::string& aKind) const
{
  return { name_, aKind, context_.dataCentre };
}

PoolLimits
GroupHome::LimitsOf(const Membership::Database& aDatabase) const
{
  const Settings::Scope scope = ScopeOf("");
  PoolLimits limits;
  limits.slots = static_cast<std::size_t>(aDatabase.slots);
  // During a change of home, two nodes can serve the group at the same time, so
  // each uses less than half of the database's connections.
  const std::int64_t share =
    aDatabase.connections *
    settings_->Integer("connections.share_percent", scope) / kHundredPercent;
  limits.connections =
    static_cast<std::size_t>(std::max(share, aDatabase.slots));
  limits.floor =
    static_cast<std::size_t>(settings_->Integer("connections.floor", scope));
  limits.maxQueueLength =
    static_cast<std::size_t>(settings_->Integer("queue.longest", scope));
  limits.order = settings_->Boolean("queue.weighted", scope)
                   ? Admission::QueueOrder::Weighted
                   : Admission::QueueOrder::Arrival;
  limits.idleProbeThreshold =
    settings_->Milliseconds("connections.probe_idle_ms", scope);
  limits.timeout =
    settings_->Milliseconds("requests.attempt_timeout_ms", scope);
  return limits;
}

void
GroupHome::Update(const std::vector<const Membership::Database*>& aDatabases,
                  SettingsHandle aSettings)
{
  settings_ = std::move(aSettings);
  retries_.SetPercent(
    settings_->Integer("requests.retry_percent", ScopeOf("")));
  router_.SetPolicy(Request::kReadPolicyNames
                      .ValueOf(settings_->Text("reads.policy", ScopeOf("")))
                      .value_or(Request::ReadPolicy::LeastWait));

  std::vector<std::string> names;
  names.reserve(aDatabases.size());
  for (const Membership::Database* database : aDatabases)
    names.push_back(database->name);
  state_.SetDatabases(names);
  std::erase_if(databases_, [&names](const auto& aEntry) {
    return std::find(names.begin(), names.end(), aEntry.first) == names.end();
  });
  for (const Membership::Database* database : aDatabases) {
    const auto found = databases_.find(database->name);
    if (found == databases_.end() ||
        found->second->info.address != database->address) {
      AddDatabase(*database);
      continue;
    }
    found->second->info = *database;
    found->second->pool->SetLimits(LimitsOf(*database));
  }
}

void
GroupHome::AddDatabase(const Membership::Database& aDatabase)
{
  auto entry = std::make_unique<DatabaseEntry>();
  entry->info = aDatabase;
  entry->pool = std::make_unique<DatabasePool>(
    context_.loop, context_.links.Make(aDatabase), LimitsOf(aDatabase));
  databases_[aDatabase.name] = std::move(entry);
  Poll(aDatabase.name);
}

DatabasePool*
GroupHome::PoolOf(const std::string& aDatabase)
{
  const auto found = databases_.find(aDatabase);
  return found == databases_.end() ? nullptr : found->second->pool.get();
}

std::vector<Request::ReadCandidate>
GroupHome::Candidates() const
{
  const auto primary = state_.Primary();
  const Core::Instant now = context_.loop.Now();
  std::vector<Request::ReadCandidate> candidates;
  for (const auto& [name, entry] : databases_) {
    const Endpoint::DatabaseReport* report = state_.LastReport(name);
    if (report == nullptr)
      continue;
    Request::ReadCandidate candidate;
    candidate.name = name;
    candidate.isPrimary = primary == name;
    candidate.isLeaving = entry->info.state == Membership::VmState::Leaving;
    candidate.isNear = entry->info.dataCentre == context_.dataCentre;
    candidate.isReachable = entry->isReachable;
    candidate.position = report->log;
    candidate.age = state_.AgeOf(report->log, now);
    candidate.expectedWait = entry->pool->ExpectedWait();
    candidate.connections = entry->pool->Connections();
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void
GroupHome::RecordReport(const std::string& aDatabase,
                        const std::optional<Endpoint::DatabaseReport>& aReport,
                        Core::Instant aRequestedAt)
{
  if (!aReport)
    return;
  const auto before = state_.Primary();
  state_.Take(aDatabase, *aReport, aRequestedAt);
  const auto after = state_.Primary();
  if (before != after)
    Core::LogChange("primary seen",
                    { { "group", name_ },
                      { "primary", after.value_or("") },
                      { "term", state_.HighestTerm() } });
  CheckWaiters();
}

void
GroupHome::Poll(const std::string& aDatabase)
{
  const auto found = databases_.find(aDatabase);
  if (found == databases_.end())
    return;
  Endpoint::StatusRequest question;
  if (const auto* last = state_.LastReport(aDatabase);
      last != nullptr && found->second->isReachable)
    question.known = *last;
  question.wait = kPollWait;
  question.timeout = kPollTimeout;
  found->second->pool->Link().RequestStatus(
    question,
    [this,
     aDatabase,
     alive = found->second->alive,
     requestedAt = context_.loop.Now()](
      const std::optional<Endpoint::DatabaseReport>& aReport) {
      if (*alive)
        HandlePollReply(aDatabase, aReport, requestedAt);
    });
}

void
GroupHome::HandlePollReply(
  const std::string& aDatabase,
  const std::optional<Endpoint::DatabaseReport>& aReport,
  Core::Instant aRequestedAt)
{
  DatabaseEntry& entry = *databases_.at(aDatabase);
  entry.isReachable = aReport.has_value();
  RecordReport(aDatabase, aReport, aRequestedAt);
  if (aReport) {
    Poll(aDatabase);
    return;
  }
  entry.pollTimer = context_.loop.After(kPollRetryPause,
                                        [this, aDatabase] { Poll(aDatabase); });
}

void
GroupHome::PollNow()
{
  for (const auto& [name, entry] : databases_) {
    Endpoint::StatusRequest question;
    question.timeout = kPollTimeout;
    entry->pool->Link().RequestStatus(
      question,
      [this,
       database = name,
       alive = entry->alive,
       requestedAt = context_.loop.Now()](
        const std::optional<Endpoint::DatabaseReport>& aReport) {
        if (*alive)
          RecordReport(database, aReport, requestedAt);
      });
  }
}

GroupHome::WaiterNumber
GroupHome::CallWhen(std::function<bool()> aCondition,
                    std::function<void()> aCallback)
{
  waiters_[++lastWaiter_] = { std::move(aCondition), std::move(aCallback) };
  CheckWaiters();
  return lastWaiter_;
}

void
GroupHome::CancelWait(WaiterNumber aWaiter)
{
  waiters_.erase(aWaiter);
}

void
GroupHome::CheckWaiters()
{
  if (waiters_.empty() || std::exchange(checkScheduled_, true))
    return;
  context_.loop.Defer([this, alive = alive_] {
    if (!*alive)
      return;
    checkScheduled_ = false;
    std::vector<std::function<void()>> due;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
      if (!waiter->second.condition()) {
        ++waiter;
        continue;
      }
      due.push_back(std::move(waiter->second.callback));
      waiter = waiters_.erase(waiter);
    }
    for (const auto& callback : due)
      callback();
  });
}

void
GroupHome::DeleteExpiredLedgerRows()
{
  const auto primary = state_.Primary();
  DatabasePool* pool = primary ? PoolOf(*primary) : nullptr;
  if (pool == nullptr)
    return;
  Admission::Ticket ticket;
  ticket.deadline = context_.loop.Now() + kLedgerSweepPeriod;
  const Endpoint::Batch batch = Request::Ledger::ExpireBatch(
    state_.HighestTerm(), Core::WallClockMilliseconds());
  pool->Acquire(
    ticket,
    nullptr,
    [this, database = *primary, batch](const ConnectionHandle& aConnection) {
      RunLedgerExpiry(database, batch, aConnection);
    },
    [](Core::Duration) {});
}

void
GroupHome::RunLedgerExpiry(const std::string& aDatabase,
                           const Endpoint::Batch& aBatch,
                           const ConnectionHandle& aConnection)
{
  const auto release =
    [this, aDatabase, aConnection, alive = alive_, now = context_.loop.Now()] {
      DatabasePool* pool = *alive ? PoolOf(aDatabase) : nullptr;
      if (pool != nullptr)
        pool->Release(aConnection, now, false);
    };
  if (!aConnection) {
    release();
    return;
  }
  aConnection->Run(
    aBatch,
    kLedgerSweepPeriod,
    [this, aConnection, release](const Endpoint::BatchResponse&) {
      context_.loop.Defer([aConnection] {});
      release();
    });
}

boost::json::object
GroupHome::ToJson() const
{
  boost::json::array databases;
  const Core::Instant now = context_.loop.Now();
  for (const auto& [name, entry] : databases_) {
    boost::json::object item{
      { "name", name },
      { "data_centre", entry->info.dataCentre },
      { "state", Membership::kVmStateNames.NameOf(entry->info.state) },
      { "reachable", entry->isReachable },
      { "connections", entry->pool->Connections() },
      { "queued", entry->pool->Queued() },
    };
    if (const auto* report = state_.LastReport(name)) {
      item["position"] = report->log.ToText();
      item["promised"] = report->promised;
      if (const auto age = state_.AgeOf(report->log, now))
        item["age_ms"] = Core::ToMilliseconds(*age);
    }
    databases.push_back(std::move(item));
  }
  return { { "group", name_ },
           { "home", context_.nodeName },
           { "primary", state_.Primary().value_or("") },
           { "term", state_.HighestTerm() },
           { "databases", std::move(databases) } };
}

} // namespace Proxy
