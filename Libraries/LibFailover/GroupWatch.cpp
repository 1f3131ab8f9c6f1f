#include <LibFailover/GroupWatch.h>

#include <algorithm>
#include <utility>

namespace Failover {

namespace {

/** A longer gap between ticks means that this process was paused. */
constexpr Core::Duration kPauseGap = std::chrono::milliseconds(300);
/** Delay per rank, so that monitors of a group act one after another. */
constexpr Core::Duration kDelayPerRank = std::chrono::milliseconds(400);
constexpr Core::Duration kHoldOffAfterOpinions = std::chrono::milliseconds(100);
constexpr Core::Duration kHoldOffAfterSuccess = std::chrono::milliseconds(300);
constexpr Core::Duration kHoldOffAfterFailure = std::chrono::milliseconds(150);
/** Repairs of faults that lose no write wait until the group is stable. */
constexpr Core::Duration kRepairDelay = std::chrono::milliseconds(800);
constexpr Core::Duration kRepointPeriod = std::chrono::milliseconds(300);
/** Reports older than this many probe periods are stale. */
constexpr int kFreshProbePeriods = 8;

} // namespace

GroupWatch::GroupWatch(std::vector<std::string> aDatabases,
                       std::string aDataCentre,
                       const WatchSettings& aSettings,
                       Core::Instant aNow)
  : dataCentre_(std::move(aDataCentre))
  , settings_(aSettings)
  , lastTick_(aNow)
  , pendingSince_(aNow)
  , holdOffUntil_(aNow)
{
  for (std::string& database : aDatabases)
    databases_.emplace(
      std::move(database),
      MonitoredDatabase{
        FailureDetector(aSettings.suspect, aNow), std::nullopt, {}, {} });
}

void
GroupWatch::SetSettings(const WatchSettings& aSettings)
{
  settings_ = aSettings;
  for (auto& [name, database] : databases_)
    database.detector.SetFloor(aSettings.suspect);
}

void
GroupWatch::SetLeaving(std::set<std::string> aLeaving)
{
  leaving_ = std::move(aLeaving);
}

void
GroupWatch::OnReport(const std::string& aDatabase,
                     const DatabaseReport& aReport,
                     Core::Instant aRequestedAt,
                     Core::Instant aNow)
{
  const auto found = databases_.find(aDatabase);
  if (found == databases_.end())
    return;
  MonitoredDatabase& database = found->second;
  database.detector.OnProbeResponse(aRequestedAt, aNow);
  const bool isOutdated = database.report && aRequestedAt < database.reportedAt;
  if (isOutdated)
    return;
  database.report = aReport;
  database.reportedAt = aRequestedAt;
}

Term
GroupWatch::HighestTerm() const
{
  Term highest = 0;
  for (const auto& [name, database] : databases_) {
    if (database.report)
      highest = std::max(highest, database.report->promised);
  }
  return highest;
}

std::optional<std::string>
GroupWatch::Primary() const
{
  // Uses the highest term that has a primary, not the highest promised term:
  // after a failed promotion the earlier primary remains in service.
  const std::string* best = nullptr;
  Term bestTerm = 0;
  for (const auto& [name, database] : databases_) {
    const bool isPrimary = database.report && database.report->isPrimary &&
                           database.report->IsSettled();
    if (isPrimary && database.report->log.term >= bestTerm) {
      best = &name;
      bestTerm = database.report->log.term;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return *best;
}

const DatabaseReport*
GroupWatch::LastReport(const std::string& aDatabase) const
{
  const auto found = databases_.find(aDatabase);
  if (found == databases_.end() || !found->second.report)
    return nullptr;
  return &*found->second.report;
}

bool
GroupWatch::IsSilent(const std::string& aDatabase, Core::Instant aNow) const
{
  const auto found = databases_.find(aDatabase);
  return found == databases_.end() || found->second.detector.IsSuspect(aNow);
}

bool
GroupWatch::IsFresh(const MonitoredDatabase& aDatabase,
                    Core::Instant aNow) const
{
  const Core::Duration limit =
    std::max(settings_.probe * kFreshProbePeriods, settings_.suspect);
  return aDatabase.report && aNow - aDatabase.reportedAt <= limit;
}

void
GroupWatch::DetectPause(Core::Instant aNow)
{
  const bool wasPaused = aNow - lastTick_ > kPauseGap;
  lastTick_ = aNow;
  if (!wasPaused)
    return;
  // Reports from before the pause may be outdated.
  for (auto& [name, database] : databases_) {
    database.detector.OnPause(aNow);
    database.report.reset();
  }
  pendingReason_ = Trouble::None;
}

Trouble
GroupWatch::Diagnose(Core::Instant aNow) const
{
  if (const auto primary = Primary())
    return DiagnoseWithPrimary(*primary, aNow);
  const auto responding = static_cast<std::size_t>(std::count_if(
    databases_.begin(), databases_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow);
    }));
  return responding >= databases_.size() / 2 + 1 ? Trouble::NoPrimary
                                                 : Trouble::None;
}

Trouble
GroupWatch::DiagnoseWithPrimary(const std::string& aPrimary,
                                Core::Instant aNow) const
{
  const MonitoredDatabase& database = databases_.at(aPrimary);
  if (database.detector.IsSuspect(aNow))
    return Trouble::PrimarySilent;
  // An old primary may still report itself as primary after a majority has
  // promised a later term.
  const auto inLaterTerm = static_cast<std::size_t>(std::count_if(
    databases_.begin(), databases_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow) &&
             aEntry.second.report->promised > database.report->log.term;
    }));
  if (inLaterTerm >= databases_.size() / 2 + 1)
    return Trouble::NoPrimary;
  if (leaving_.contains(aPrimary) && leaving_.size() < databases_.size())
    return Trouble::PrimaryLeaving;
  if (IsJoinerReady(*database.report, aNow))
    return Trouble::JoinerReady;
  if (IsDatabaseAhead(*database.report, aNow))
    return Trouble::DatabaseAhead;
  return Trouble::None;
}

bool
GroupWatch::IsJoinerReady(const DatabaseReport& aPrimary,
                          Core::Instant aNow) const
{
  return std::any_of(
    databases_.begin(), databases_.end(), [&](const auto& aEntry) {
      const MonitoredDatabase& database = aEntry.second;
      return IsFresh(database, aNow) && database.report->isJoining &&
             database.report->log.term == aPrimary.log.term;
    });
}

bool
GroupWatch::IsDatabaseAhead(const DatabaseReport& aPrimary,
                            Core::Instant aNow) const
{
  return std::any_of(
    databases_.begin(), databases_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow) &&
             aEntry.second.report->promised > aPrimary.promised;
    });
}

Core::Duration
GroupWatch::DelayFor(Trouble aReason) const
{
  const Core::Duration rankDelay = kDelayPerRank * settings_.rank;
  switch (aReason) {
    case Trouble::PrimarySilent:
      return rankDelay;
    case Trouble::NoPrimary:
    case Trouble::PrimaryLeaving:
      return settings_.probe * 2 + rankDelay;
    default:
      return kRepairDelay + rankDelay;
  }
}

WatchAction
GroupWatch::Tick(Core::Instant aNow)
{
  DetectPause(aNow);
  const Trouble reason = Diagnose(aNow);
  if (reason != pendingReason_) {
    pendingReason_ = reason;
    pendingSince_ = aNow;
  }
  const bool isDelayed = isAwaitingOpinions_ || isPromoting_ ||
                         aNow < holdOffUntil_ ||
                         aNow - pendingSince_ < DelayFor(reason);
  if (reason == Trouble::None || isDelayed)
    return {};
  if (reason != Trouble::PrimarySilent)
    return Promote(reason);
  isAwaitingOpinions_ = true;
  return { WatchStep::AskOpinions, reason, *Primary(), 0 };
}

WatchAction
GroupWatch::Promote(Trouble aReason)
{
  isPromoting_ = true;
  return {
    WatchStep::Promote, aReason, Primary().value_or(""), HighestTerm() + 1
  };
}

WatchAction
GroupWatch::OnOpinions(const std::vector<Opinion>& aOpinions,
                       bool aOthersExist,
                       Core::Instant aNow)
{
  isAwaitingOpinions_ = false;
  const auto silent = static_cast<std::size_t>(
    std::count_if(aOpinions.begin(), aOpinions.end(), [](const auto& aOpinion) {
      return aOpinion.isSilent;
    }));
  const bool isConfirmedElsewhere = std::any_of(
    aOpinions.begin(), aOpinions.end(), [this](const Opinion& aOpinion) {
      return aOpinion.isSilent && aOpinion.dataCentre != dataCentre_;
    });
  const bool isConfirmed =
    !aOthersExist || (isConfirmedElsewhere && silent * 2 > aOpinions.size());
  // The primary may have responded while the opinions were collected.
  const bool isStillSilent = Diagnose(aNow) == Trouble::PrimarySilent;
  if (isConfirmed && isStillSilent)
    return Promote(Trouble::PrimarySilent);
  holdOffUntil_ = aNow + kHoldOffAfterOpinions;
  return {};
}

void
GroupWatch::OnPromotionEnded(bool aSucceeded, Core::Instant aNow)
{
  isPromoting_ = false;
  holdOffUntil_ =
    aNow + (aSucceeded ? kHoldOffAfterSuccess
                       : kHoldOffAfterFailure * (1 + settings_.rank));
}

std::vector<RepointOrder>
GroupWatch::Repoint(Core::Instant aNow)
{
  std::vector<RepointOrder> orders;
  const auto primary = Primary();
  if (!primary || isPromoting_ || IsSilent(*primary, aNow))
    return orders;
  const DatabaseReport& primaryReport = *databases_.at(*primary).report;
  for (auto& [name, database] : databases_) {
    const bool wasRecentlyRepointed =
      database.repointedAt &&
      aNow - *database.repointedAt < kRepointPeriod * (1 + settings_.rank);
    if (name == *primary || wasRecentlyRepointed || !IsFresh(database, aNow))
      continue;
    const DatabaseReport& report = *database.report;
    const bool followsPrimary =
      report.promised == primaryReport.promised && report.follows == *primary;
    if (followsPrimary || report.promised > primaryReport.promised)
      continue;
    database.repointedAt = aNow;
    orders.push_back(
      { name, *primary, primaryReport.log.term, primaryReport.owner });
  }
  return orders;
}

} // namespace Failover
