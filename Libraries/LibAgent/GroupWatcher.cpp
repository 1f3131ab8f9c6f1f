#include <LibAgent/GroupWatcher.h>

#include <LibCore/Log.h>

#include <algorithm>
#include <utility>

namespace Agent {

using Failover::MonitorStep;
using Failover::PromotionStep;

namespace {

constexpr Core::Duration kTick = std::chrono::milliseconds(25);
/** How long a promotion waits for fence replies beyond the majority. */
constexpr Core::Duration kFenceGracePeriod = std::chrono::milliseconds(30);
constexpr Core::Duration kOrderTimeout = std::chrono::milliseconds(250);
/**
 * In each round, the watcher of rank 0 probes the primary, or all databases
 * while no primary is known. Watchers of other ranks, and rank 0 for replicas,
 * probe only in every kSlowProbeDivisor-th round.
 */
constexpr int kSlowProbeDivisor = 3;

std::vector<std::string>
NamesOf(const std::vector<Membership::Database>& aDatabases)
{
  std::vector<std::string> names;
  names.reserve(aDatabases.size());
  for (const Membership::Database& database : aDatabases)
    names.push_back(database.name);
  return names;
}

} // namespace

GroupWatcher::GroupWatcher(Core::Scheduler& aLoop,
                           WatcherHost& aHost,
                           std::string aGroup,
                           std::string aDataCentre,
                           const std::vector<Membership::Database>& aDatabases)
  : loop_(aLoop)
  , host_(aHost)
  , group_(std::move(aGroup))
  , dataCentre_(std::move(aDataCentre))
  , monitor_(NamesOf(aDatabases), dataCentre_, settings_, aLoop.Now())
  , tickTimer_(aLoop.Every(kTick, [this] { Tick(); }))
{
  for (const Membership::Database& database : aDatabases) {
    databases_[database.name] = database;
    links_[database.name] = aHost.MakeLink(database);
  }
  ProbeAll();
}

GroupWatcher::~GroupWatcher()
{
  *alive_ = false;
}

bool
GroupWatcher::HasSameDatabases(
  const std::vector<Membership::Database>& aDatabases) const
{
  if (aDatabases.size() != databases_.size())
    return false;
  return std::all_of(
    aDatabases.begin(), aDatabases.end(), [this](const auto& aDatabase) {
      const auto found = databases_.find(aDatabase.name);
      return found != databases_.end() &&
             found->second.address == aDatabase.address;
    });
}

void
GroupWatcher::Update(const std::vector<Membership::Database>& aDatabases,
                     const Settings::FleetSettings& aFleet,
                     int aRank)
{
  const Settings::Scope scope{ group_, "", dataCentre_ };
  settings_.suspect = aFleet.Milliseconds("detection.suspect_ms", scope);
  settings_.probe = aFleet.Milliseconds("detection.probe_ms", scope);
  settings_.rank = aRank;
  monitor_.SetSettings(settings_);
  allowsMinority_ = aFleet.Boolean("writes.unsafe_promotion", scope);
  std::set<std::string> leaving;
  for (const Membership::Database& database : aDatabases) {
    databases_[database.name] = database;
    if (database.state == Membership::VmState::Leaving)
      leaving.insert(database.name);
  }
  monitor_.SetLeaving(std::move(leaving));
}

void
GroupWatcher::ProbeAll()
{
  probeTimer_ = loop_.After(settings_.probe, [this] { ProbeAll(); });
  const auto primary = monitor_.Primary();
  const bool isSlowProbeRound = ++probeRound_ % kSlowProbeDivisor == 0;
  for (const auto& [name, database] : databases_) {
    const bool isProbedEveryRound =
      settings_.rank == 0 && (!primary || *primary == name);
    if (isProbedEveryRound || isSlowProbeRound)
      ProbeOne(name);
  }
}

void
GroupWatcher::ProbeOne(const std::string& aDatabase)
{
  Endpoint::StatusRequest statusRequest;
  statusRequest.timeout = settings_.suspect;
  links_.at(aDatabase)->RequestStatus(
    statusRequest,
    [this, aDatabase, requestedAt = loop_.Now(), alive = alive_](
      const std::optional<Endpoint::DatabaseReport>& aReport) {
      if (*alive && aReport)
        monitor_.OnReport(aDatabase, *aReport, requestedAt, loop_.Now());
    });
}

void
GroupWatcher::Probe(const std::string& aDatabase,
                    std::function<void(bool)> aCallback)
{
  const auto link = links_.find(aDatabase);
  if (link == links_.end()) {
    aCallback(false);
    return;
  }
  Endpoint::StatusRequest statusRequest;
  statusRequest.timeout = settings_.suspect / 2;
  link->second->RequestStatus(
    statusRequest,
    [callback = std::move(aCallback)](
      const std::optional<Endpoint::DatabaseReport>& aReport) {
      callback(aReport.has_value());
    });
}

void
GroupWatcher::Tick()
{
  Execute(monitor_.Tick(loop_.Now()));
  for (const Failover::RepointOrder& order : monitor_.Repoint(loop_.Now()))
    Follow(order.database, { order.term, order.owner, {} }, order.primary);
}

void
GroupWatcher::Execute(const Failover::MonitorAction& aAction)
{
  switch (aAction.step) {
    case MonitorStep::None:
      return;
    case MonitorStep::RequestOpinions:
      host_.RequestOpinions(
        group_,
        aAction.primary,
        [this, alive = alive_](const std::vector<Failover::Opinion>& aOpinions,
                               bool aOthersExist) {
          if (*alive)
            Execute(monitor_.OnOpinions(aOpinions, aOthersExist, loop_.Now()));
        });
      return;
    case MonitorStep::Promote:
      StartPromotion(aAction);
      return;
  }
}

void
GroupWatcher::StartPromotion(const Failover::MonitorAction& aAction)
{
  Failover::PromotionOptions options;
  options.term = aAction.term;
  options.owner = host_.NewOwner();
  options.preferred = aAction.primary;
  options.allowsMinority = allowsMinority_;
  std::vector<std::string> names;
  for (const auto& [name, database] : databases_) {
    names.push_back(name);
    if (database.state == Membership::VmState::Leaving)
      options.leaving.insert(name);
    const Endpoint::DatabaseReport* report = monitor_.LastReport(name);
    if (report != nullptr && report->isJoining)
      options.admits[name] = report->identity;
  }
  ++promotionNumber_;
  trouble_ = aAction.trouble;
  Core::LogChange(
    "promoting",
    { { "group", group_ },
      { "term", options.term },
      { "why", Failover::kPromotionReasonNames.NameOf(trouble_) } });
  promotion_.emplace(std::move(names), options);
  ExecutePromotion(promotion_->Start());
}

void
GroupWatcher::ExecutePromotion(
  const std::vector<Failover::PromotionAction>& aActions)
{
  for (const Failover::PromotionAction& action : aActions) {
    switch (action.step) {
      case PromotionStep::Fence:
        Fence(action.database);
        break;
      case PromotionStep::AwaitGracePeriod:
        graceTimer_ = loop_.After(kFenceGracePeriod, [this] {
          ExecutePromotion(promotion_->OnGracePeriodOver());
        });
        break;
      case PromotionStep::Promote:
        Promote(action.database);
        break;
      case PromotionStep::Follow:
        Follow(action.database,
               { promotion_->Options().term, promotion_->Options().owner, {} },
               promotion_->Chosen());
        break;
      case PromotionStep::Finish:
        FinishPromotion();
        break;
    }
  }
}

void
GroupWatcher::Fence(const std::string& aDatabase)
{
  const Failover::PromotionOptions& options = promotion_->Options();
  links_.at(aDatabase)->Fence(
    { options.term, options.owner, options.admits },
    kOrderTimeout,
    [this,
     aDatabase,
     promotionNumber = promotionNumber_,
     alive = alive_,
     requestedAt =
       loop_.Now()](const std::optional<Endpoint::ControlResponse>& aResponse) {
      if (!*alive || promotionNumber != promotionNumber_)
        return;
      if (aResponse)
        monitor_.OnReport(
          aDatabase, aResponse->report, requestedAt, loop_.Now());
      ExecutePromotion(promotion_->OnFence(aDatabase, aResponse));
    });
}

void
GroupWatcher::Promote(const std::string& aDatabase)
{
  const Failover::PromotionOptions& options = promotion_->Options();
  links_.at(aDatabase)->Promote(
    { options.term, options.owner, {} },
    kOrderTimeout,
    [this,
     aDatabase,
     promotionNumber = promotionNumber_,
     alive = alive_,
     requestedAt =
       loop_.Now()](const std::optional<Endpoint::ControlResponse>& aResponse) {
      if (!*alive || promotionNumber != promotionNumber_)
        return;
      if (aResponse)
        monitor_.OnReport(
          aDatabase, aResponse->report, requestedAt, loop_.Now());
      ExecutePromotion(promotion_->OnPromote(aResponse));
    });
}

void
GroupWatcher::Follow(const std::string& aDatabase,
                     const Endpoint::ControlOrder& aOrder,
                     const std::string& aPrimary)
{
  const auto primary = databases_.find(aPrimary);
  if (primary == databases_.end())
    return;
  links_.at(aDatabase)->Follow(
    aOrder,
    aPrimary,
    primary->second.address.ToText(),
    kOrderTimeout,
    [this, aDatabase, alive = alive_, requestedAt = loop_.Now()](
      const std::optional<Endpoint::ControlResponse>& aResponse) {
      if (*alive && aResponse)
        monitor_.OnReport(
          aDatabase, aResponse->report, requestedAt, loop_.Now());
    });
}

void
GroupWatcher::FinishPromotion()
{
  graceTimer_.reset();
  const bool succeeded = promotion_->HasSucceeded();
  Core::LogChange(succeeded ? "promoted" : "promotion failed",
                  { { "group", group_ },
                    { "term", promotion_->Options().term },
                    { "primary", promotion_->Chosen() },
                    { "reason", promotion_->Reason() } });
  monitor_.OnPromotionEnded(succeeded, loop_.Now());
  if (succeeded)
    host_.RecordPromotion(group_, *promotion_, trouble_);
}

boost::json::object
GroupWatcher::ToJson() const
{
  boost::json::array databases;
  for (const auto& [name, database] : databases_) {
    boost::json::object item{
      { "name", name },
      { "data_centre", database.dataCentre },
      { "silent", monitor_.IsSilent(name, loop_.Now()) },
    };
    if (const auto* report = monitor_.LastReport(name)) {
      item["position"] = report->log.ToText();
      item["promised"] = report->promised;
      item["joining"] = report->isJoining;
    }
    databases.push_back(std::move(item));
  }
  return { { "group", group_ },
           { "rank", settings_.rank },
           { "primary", monitor_.Primary().value_or("") },
           { "term", monitor_.HighestTerm() },
           { "databases", std::move(databases) } };
}

} // namespace Agent
