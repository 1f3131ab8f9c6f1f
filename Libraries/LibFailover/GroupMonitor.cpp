#include <LibFailover/GroupMonitor.h>

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
/**
 * Delay of a promotion for DatabaseAhead or JoinerReady. These faults lose no
 * write, so the promotion waits until the group is stable.
 */
constexpr Core::Duration kRepairDelay = std::chrono::milliseconds(800);
constexpr Core::Duration kRepointPeriod = std::chrono::milliseconds(300);
/** Reports older than this many probe periods are stale. */
constexpr int kFreshProbePeriods = 8;

} // namespace

GroupMonitor::GroupMonitor(std::vector<std::string> aDatabases,
                           std::string aDataCentre,
                           const MonitorSettings& aSettings,
                           Core::Instant aNow)
  : dataCentre_(std::move(aDataCentre))
  , settings_(aSettings)
  , lastTick_(aNow)
  , pendingSince_(aNow)
  , holdOffUntil_(aNow)
{
  for (std::string& database : aDatabases)
    watched_.emplace(
      std::move(database),
      MonitoredDatabase{
        FailureDetector(aSettings.suspect, aNow), std::nullopt, {}, {} });
}

void
GroupMonitor::SetSettings(const MonitorSettings& aSettings)
{
  settings_ = aSettings;
  for (auto& [name, watched] : watched_)
    watched.detector.SetFloor(aSettings.suspect);
}

void
GroupMonitor::SetLeaving(std::set<std::string> aLeaving)
{
  leaving_ = std::move(aLeaving);
}

void
GroupMonitor::OnReport(const std::string& aDatabase,
                       const DatabaseReport& aReport,
                       Core::Instant aRequestedAt,
                       Core::Instant aNow)
{
  const auto found = watched_.find(aDatabase);
  if (found == watched_.end())
    return;
  MonitoredDatabase& watched = found->second;
  watched.detector.OnProbeResponse(aRequestedAt, aNow);
  const bool isOutdated = watched.report && aRequestedAt < watched.reportedAt;
  if (isOutdated)
    return;
  watched.report = aReport;
  watched.reportedAt = aRequestedAt;
}

Term
GroupMonitor::HighestTerm() const
{
  Term highest = 0;
  for (const auto& [name, watched] : watched_) {
    if (watched.report)
      highest = std::max(highest, watched.report->promised);
  }
  return highest;
}

std::optional<std::string>
GroupMonitor::Primary() const
{
  // Uses the highest term that has a primary, not the highest promised term:
  // after a failed promotion the earlier primary remains in service.
  const std::string* best = nullptr;
  Term bestTerm = 0;
  for (const auto& [name, watched] : watched_) {
    const bool isPrimary = watched.report && watched.report->isPrimary &&
                           watched.report->IsSettled();
    if (isPrimary && watched.report->log.term >= bestTerm) {
      best = &name;
      bestTerm = watched.report->log.term;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return *best;
}

const DatabaseReport*
GroupMonitor::LastReport(const std::string& aDatabase) const
{
  const auto found = watched_.find(aDatabase);
  if (found == watched_.end() || !found->second.report)
    return nullptr;
  return &*found->second.report;
}

bool
GroupMonitor::IsSilent(const std::string& aDatabase, Core::Instant aNow) const
{
  const auto found = watched_.find(aDatabase);
  return found == watched_.end() || found->second.detector.IsSuspect(aNow);
}

bool
GroupMonitor::IsFresh(const MonitoredDatabase& aDatabase,
                      Core::Instant aNow) const
{
  const Core::Duration limit =
    std::max(settings_.probe * kFreshProbePeriods, settings_.suspect);
  return aDatabase.report && aNow - aDatabase.reportedAt <= limit;
}

void
GroupMonitor::DetectPause(Core::Instant aNow)
{
  const bool wasPaused = aNow - lastTick_ > kPauseGap;
  lastTick_ = aNow;
  if (!wasPaused)
    return;
  // Reports from before the pause may be outdated.
  for (auto& [name, watched] : watched_) {
    watched.detector.OnPause(aNow);
    watched.report.reset();
  }
  pendingReason_ = PromotionReason::None;
}

PromotionReason
GroupMonitor::Diagnose(Core::Instant aNow) const
{
  if (const auto primary = Primary())
    return DiagnoseWithPrimary(*primary, aNow);
  const auto responding = static_cast<std::size_t>(
    std::count_if(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow);
    }));
  return responding >= watched_.size() / 2 + 1 ? PromotionReason::NoPrimary
                                               : PromotionReason::None;
}

PromotionReason
GroupMonitor::DiagnoseWithPrimary(const std::string& aPrimary,
                                  Core::Instant aNow) const
{
  const MonitoredDatabase& watched = watched_.at(aPrimary);
  if (watched.detector.IsSuspect(aNow))
    return PromotionReason::PrimarySilent;
  // An old primary may still report itself as primary after a majority has
  // promised a later term.
  const auto inLaterTerm = static_cast<std::size_t>(
    std::count_if(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow) &&
             aEntry.second.report->promised > watched.report->log.term;
    }));
  if (inLaterTerm >= watched_.size() / 2 + 1)
    return PromotionReason::NoPrimary;
  if (leaving_.contains(aPrimary) && leaving_.size() < watched_.size())
    return PromotionReason::PrimaryLeaving;
  if (IsJoinerReady(*watched.report, aNow))
    return PromotionReason::JoinerReady;
  if (IsDatabaseAhead(*watched.report, aNow))
    return PromotionReason::DatabaseAhead;
  return PromotionReason::None;
}

bool
GroupMonitor::IsJoinerReady(const DatabaseReport& aPrimary,
                            Core::Instant aNow) const
{
  return std::any_of(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
    const MonitoredDatabase& watched = aEntry.second;
    return IsFresh(watched, aNow) && watched.report->isJoining &&
           watched.report->log.term == aPrimary.log.term;
  });
}

bool
GroupMonitor::IsDatabaseAhead(const DatabaseReport& aPrimary,
                              Core::Instant aNow) const
{
  return std::any_of(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
    return IsFresh(aEntry.second, aNow) &&
           aEntry.second.report->promised > aPrimary.promised;
  });
}

Core::Duration
GroupMonitor::DelayFor(PromotionReason aReason) const
{
  const Core::Duration rankDelay = kDelayPerRank * settings_.rank;
  switch (aReason) {
    case PromotionReason::PrimarySilent:
      return rankDelay;
    case PromotionReason::NoPrimary:
    case PromotionReason::PrimaryLeaving:
      return settings_.probe * 2 + rankDelay;
    default:
      return kRepairDelay + rankDelay;
  }
}

MonitorAction
GroupMonitor::Tick(Core::Instant aNow)
{
  DetectPause(aNow);
  const PromotionReason reason = Diagnose(aNow);
  if (reason != pendingReason_) {
    pendingReason_ = reason;
    pendingSince_ = aNow;
  }
  const bool isDelayed = isAwaitingOpinions_ || isPromoting_ ||
                         aNow < holdOffUntil_ ||
                         aNow - pendingSince_ < DelayFor(reason);
  if (reason == PromotionReason::None || isDelayed)
    return {};
  if (reason != PromotionReason::PrimarySilent)
    return Promote(reason);
  isAwaitingOpinions_ = true;
  return { MonitorStep::RequestOpinions, reason, *Primary(), 0 };
}

MonitorAction
GroupMonitor::Promote(PromotionReason aReason)
{
  isPromoting_ = true;
  return {
    MonitorStep::Promote, aReason, Primary().value_or(""), HighestTerm() + 1
  };
}

MonitorAction
GroupMonitor::OnOpinions(const std::vector<Opinion>& aOpinions,
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
  const bool isStillSilent = Diagnose(aNow) == PromotionReason::PrimarySilent;
  if (isConfirmed && isStillSilent)
    return Promote(PromotionReason::PrimarySilent);
  holdOffUntil_ = aNow + kHoldOffAfterOpinions;
  return {};
}

void
GroupMonitor::OnPromotionEnded(bool aSucceeded, Core::Instant aNow)
{
  isPromoting_ = false;
  holdOffUntil_ =
    aNow + (aSucceeded ? kHoldOffAfterSuccess
                       : kHoldOffAfterFailure * (1 + settings_.rank));
}

std::vector<RepointOrder>
GroupMonitor::Repoint(Core::Instant aNow)
{
  std::vector<RepointOrder> orders;
  const auto primary = Primary();
  if (!primary || isPromoting_ || IsSilent(*primary, aNow))
    return orders;
  const DatabaseReport& primaryReport = *watched_.at(*primary).report;
  for (auto& [name, watched] : watched_) {
    const bool wasRecentlyRepointed =
      watched.repointedAt &&
      aNow - *watched.repointedAt < kRepointPeriod * (1 + settings_.rank);
    if (name == *primary || wasRecentlyRepointed || !IsFresh(watched, aNow))
      continue;
    const DatabaseReport& report = *watched.report;
    const bool followsPrimary =
      report.promised == primaryReport.promised && report.follows == *primary;
    if (followsPrimary || report.promised > primaryReport.promised)
      continue;
    watched.repointedAt = aNow;
    orders.push_back(
      { name, *primary, primaryReport.log.term, primaryReport.owner });
  }
  return orders;
}

} // namespace Failover
