#include <LibFailover/GroupWatch.h>

#include <algorithm>
#include <utility>

namespace Failover {

namespace {

/** A gap between ticks from which this process was paused. */
constexpr Core::Duration kPauseGap = std::chrono::milliseconds(300);
/** Each lower-ranked watcher leaves the one before it this much time. */
constexpr Core::Duration kStagger = std::chrono::milliseconds(400);
constexpr Core::Duration kQuietAfterOpinions = std::chrono::milliseconds(100);
constexpr Core::Duration kQuietAfterSuccess = std::chrono::milliseconds(300);
constexpr Core::Duration kQuietAfterFailure = std::chrono::milliseconds(150);
/** Repairs that lose no write can wait until things have settled. */
constexpr Core::Duration kRepairHold = std::chrono::milliseconds(800);
constexpr Core::Duration kRepointPeriod = std::chrono::milliseconds(300);
/** A report older than this many probe periods is no longer relied on. */
constexpr int kFreshProbes = 8;

} // namespace

GroupWatch::GroupWatch(std::vector<std::string> aDatabases,
                       std::string aDataCentre,
                       const WatchSettings& aSettings,
                       Core::Instant aNow)
  : dataCentre_(std::move(aDataCentre))
  , settings_(aSettings)
  , lastTick_(aNow)
  , troubleSince_(aNow)
  , quietUntil_(aNow)
{
  for (std::string& database : aDatabases)
    watched_.emplace(
      std::move(database),
      Watched{
        FailureDetector(aSettings.suspect, aNow), std::nullopt, {}, {} });
}

void
GroupWatch::SetSettings(const WatchSettings& aSettings)
{
  settings_ = aSettings;
  for (auto& [name, watched] : watched_)
    watched.detector.SetFloor(aSettings.suspect);
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
  const auto found = watched_.find(aDatabase);
  if (found == watched_.end())
    return;
  Watched& watched = found->second;
  watched.detector.OnAnswer(aRequestedAt, aNow);
  const bool isOvertaken = watched.report && aRequestedAt < watched.reportedAt;
  if (isOvertaken)
    return;
  watched.report = aReport;
  watched.reportedAt = aRequestedAt;
}

Term
GroupWatch::HighestTerm() const
{
  Term highest = 0;
  for (const auto& [name, watched] : watched_) {
    if (watched.report)
      highest = std::max(highest, watched.report->promised);
  }
  return highest;
}

std::optional<std::string>
GroupWatch::Primary() const
{
  // The primary of the highest term that has one: a promise to a promoter
  // that failed leaves the earlier primary at work.
  const std::string* best = nullptr;
  Term bestTerm = 0;
  for (const auto& [name, watched] : watched_) {
    const bool leads = watched.report && watched.report->isPrimary &&
                       watched.report->IsSettled();
    if (leads && watched.report->log.term >= bestTerm) {
      best = &name;
      bestTerm = watched.report->log.term;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return *best;
}

const DatabaseReport*
GroupWatch::LastReport(const std::string& aDatabase) const
{
  const auto found = watched_.find(aDatabase);
  if (found == watched_.end() || !found->second.report)
    return nullptr;
  return &*found->second.report;
}

bool
GroupWatch::IsSilent(const std::string& aDatabase, Core::Instant aNow) const
{
  const auto found = watched_.find(aDatabase);
  return found == watched_.end() || found->second.detector.IsSuspect(aNow);
}

bool
GroupWatch::IsFresh(const Watched& aWatched, Core::Instant aNow) const
{
  const Core::Duration limit =
    std::max(settings_.probe * kFreshProbes, settings_.suspect);
  return aWatched.report && aNow - aWatched.reportedAt <= limit;
}

void
GroupWatch::NoticePause(Core::Instant aNow)
{
  const bool wasPaused = aNow - lastTick_ > kPauseGap;
  lastTick_ = aNow;
  if (!wasPaused)
    return;
  // What was believed before the pause may be long over.
  for (auto& [name, watched] : watched_) {
    watched.detector.OnPause(aNow);
    watched.report.reset();
  }
  trouble_ = Trouble::None;
}

Trouble
GroupWatch::Diagnose(Core::Instant aNow) const
{
  if (const auto primary = Primary())
    return DiagnoseWithPrimary(*primary, aNow);
  const auto answering = static_cast<std::size_t>(
    std::count_if(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow);
    }));
  return answering >= watched_.size() / 2 + 1 ? Trouble::NoPrimary
                                              : Trouble::None;
}

Trouble
GroupWatch::DiagnoseWithPrimary(const std::string& aPrimary,
                                Core::Instant aNow) const
{
  const Watched& watched = watched_.at(aPrimary);
  if (watched.detector.IsSuspect(aNow))
    return Trouble::PrimarySilent;
  // An old primary may still believe in itself after a majority moved on.
  const auto later = static_cast<std::size_t>(
    std::count_if(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow) &&
             aEntry.second.report->promised > watched.report->log.term;
    }));
  if (later >= watched_.size() / 2 + 1)
    return Trouble::NoPrimary;
  if (leaving_.contains(aPrimary) && leaving_.size() < watched_.size())
    return Trouble::PrimaryLeaving;
  if (IsJoinerReady(*watched.report, aNow))
    return Trouble::JoinerReady;
  if (IsDatabaseAhead(*watched.report, aNow))
    return Trouble::DatabaseAhead;
  return Trouble::None;
}

bool
GroupWatch::IsJoinerReady(const DatabaseReport& aPrimary,
                          Core::Instant aNow) const
{
  return std::any_of(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
    const Watched& watched = aEntry.second;
    return IsFresh(watched, aNow) && watched.report->isJoining &&
           watched.report->log.term == aPrimary.log.term;
  });
}

bool
GroupWatch::IsDatabaseAhead(const DatabaseReport& aPrimary,
                            Core::Instant aNow) const
{
  return std::any_of(watched_.begin(), watched_.end(), [&](const auto& aEntry) {
    return IsFresh(aEntry.second, aNow) &&
           aEntry.second.report->promised > aPrimary.promised;
  });
}

Core::Duration
GroupWatch::HoldFor(Trouble aTrouble) const
{
  const Core::Duration stagger = kStagger * settings_.rank;
  switch (aTrouble) {
    case Trouble::PrimarySilent:
      return stagger;
    case Trouble::NoPrimary:
    case Trouble::PrimaryLeaving:
      return settings_.probe * 2 + stagger;
    default:
      return kRepairHold + stagger;
  }
}

WatchAction
GroupWatch::Tick(Core::Instant aNow)
{
  NoticePause(aNow);
  const Trouble trouble = Diagnose(aNow);
  if (trouble != trouble_) {
    trouble_ = trouble;
    troubleSince_ = aNow;
  }
  const bool mustWait = isAsking_ || isPromoting_ || aNow < quietUntil_ ||
                        aNow - troubleSince_ < HoldFor(trouble);
  if (trouble == Trouble::None || mustWait)
    return {};
  if (trouble != Trouble::PrimarySilent)
    return Promote(trouble);
  isAsking_ = true;
  return { WatchStep::AskOpinions, trouble, *Primary(), 0 };
}

WatchAction
GroupWatch::Promote(Trouble aTrouble)
{
  isPromoting_ = true;
  return {
    WatchStep::Promote, aTrouble, Primary().value_or(""), HighestTerm() + 1
  };
}

WatchAction
GroupWatch::OnOpinions(const std::vector<Opinion>& aOpinions,
                       bool aOthersExist,
                       Core::Instant aNow)
{
  isAsking_ = false;
  const auto silent = static_cast<std::size_t>(
    std::count_if(aOpinions.begin(), aOpinions.end(), [](const auto& aOpinion) {
      return aOpinion.isSilent;
    }));
  const bool fromElsewhere = std::any_of(
    aOpinions.begin(), aOpinions.end(), [this](const Opinion& aOpinion) {
      return aOpinion.isSilent && aOpinion.dataCentre != dataCentre_;
    });
  const bool isAgreed =
    !aOthersExist || (fromElsewhere && silent * 2 > aOpinions.size());
  // The primary may have answered while the others were asked.
  const bool isStillSilent = Diagnose(aNow) == Trouble::PrimarySilent;
  if (isAgreed && isStillSilent)
    return Promote(Trouble::PrimarySilent);
  quietUntil_ = aNow + kQuietAfterOpinions;
  return {};
}

void
GroupWatch::OnPromotionEnded(bool aSucceeded, Core::Instant aNow)
{
  isPromoting_ = false;
  quietUntil_ = aNow + (aSucceeded ? kQuietAfterSuccess
                                   : kQuietAfterFailure * (1 + settings_.rank));
}

std::vector<RepointOrder>
GroupWatch::Repoint(Core::Instant aNow)
{
  std::vector<RepointOrder> orders;
  const auto primary = Primary();
  if (!primary || isPromoting_ || IsSilent(*primary, aNow))
    return orders;
  const DatabaseReport& leader = *watched_.at(*primary).report;
  for (auto& [name, watched] : watched_) {
    const bool wasJustTold =
      watched.repointedAt &&
      aNow - *watched.repointedAt < kRepointPeriod * (1 + settings_.rank);
    if (name == *primary || wasJustTold || !IsFresh(watched, aNow))
      continue;
    const DatabaseReport& report = *watched.report;
    const bool isRight =
      report.promised == leader.promised && report.follows == *primary;
    if (isRight || report.promised > leader.promised)
      continue;
    watched.repointedAt = aNow;
    orders.push_back({ name, *primary, leader.log.term, leader.owner });
  }
  return orders;
}

} // namespace Failover
