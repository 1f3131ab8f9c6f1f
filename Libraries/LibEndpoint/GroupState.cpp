#include <LibEndpoint/GroupState.h>

#include <algorithm>
#include <utility>

namespace Endpoint {

namespace {

/** When there are more samples than this, older ones are thinned out. */
constexpr std::size_t kMaxSamples = 512;
/** Samples closer together than this do not improve an age bound. */
constexpr Core::Duration kSampleSpacing = std::chrono::milliseconds(5);
/**
 * A sample may be dropped if its neighbours are no further apart than its age
 * divided by this.
 */
constexpr int kThinningRatio = 32;

} // namespace

GroupState::GroupState(std::vector<std::string> aDatabases)
  : names_(std::move(aDatabases))
{
}

void
GroupState::SetDatabases(std::vector<std::string> aDatabases)
{
  names_ = std::move(aDatabases);
  std::erase_if(states_, [this](const auto& aEntry) {
    return std::find(names_.begin(), names_.end(), aEntry.first) ==
           names_.end();
  });
}

void
GroupState::Take(const std::string& aDatabase,
                 const DatabaseReport& aReport,
                 Core::Instant aRequestedAt)
{
  if (std::find(names_.begin(), names_.end(), aDatabase) == names_.end())
    return;
  DatabaseState& state = states_[aDatabase];
  // A delayed response from before the database lost its file is obsolete.
  if (state.lostIdentities.contains(aReport.identity))
    return;
  if (state.last.identity != aReport.identity)
    ResetForNewIdentity(state);
  highestTerm_ = std::max(highestTerm_, aReport.promised);

  const bool confirms = aReport.IsSettled() && !aReport.isJoining;
  if (confirms)
    state.confirmed = std::max(state.confirmed, aReport.log);
  // Responses can arrive out of order. The promised term, which only rises,
  // decides which report is newer.
  const bool isNewer = aReport.promised > state.last.promised ||
                       (aReport.promised == state.last.promised &&
                        aRequestedAt >= state.lastRequestedAt);
  if (isNewer) {
    state.last = aReport;
    state.lastRequestedAt = aRequestedAt;
  }
  if (aReport.isPrimary && aReport.IsSettled())
    AddSample({ aRequestedAt, aReport.log });
}

void
GroupState::ResetForNewIdentity(DatabaseState& aState)
{
  std::set<std::string> lostIdentities = std::move(aState.lostIdentities);
  if (!aState.last.identity.empty())
    lostIdentities.insert(aState.last.identity);
  aState = DatabaseState{};
  aState.lostIdentities = std::move(lostIdentities);
}

std::optional<std::string>
GroupState::Primary() const
{
  for (const auto& [name, state] : states_) {
    if (state.last.isPrimary && state.last.IsSettled() &&
        state.last.promised == highestTerm_)
      return name;
  }
  return std::nullopt;
}

bool
GroupState::IsConfirmed(const LogPosition& aPosition,
                        std::size_t aRequired) const
{
  const auto holders = static_cast<std::size_t>(
    std::count_if(states_.begin(), states_.end(), [&](const auto& aEntry) {
      const LogPosition& confirmed = aEntry.second.confirmed;
      return confirmed.term == aPosition.term &&
             confirmed.position >= aPosition.position;
    }));
  return holders >= (aRequired == 0 ? Majority() : aRequired);
}

bool
GroupState::IsConfirmedSince(const LogPosition& aPosition,
                             Core::Instant aSince,
                             std::size_t aRequired) const
{
  const auto holders = static_cast<std::size_t>(
    std::count_if(states_.begin(), states_.end(), [&](const auto& aEntry) {
      const DatabaseState& state = aEntry.second;
      return state.lastRequestedAt >= aSince && state.last.IsSettled() &&
             !state.last.isJoining && state.last.log.term == aPosition.term &&
             state.last.log.position >= aPosition.position;
    }));
  return holders >= (aRequired == 0 ? Majority() : aRequired);
}

bool
GroupState::IsReplaced(Term aTerm) const
{
  const auto later = static_cast<std::size_t>(
    std::count_if(states_.begin(), states_.end(), [aTerm](const auto& aEntry) {
      return aEntry.second.last.promised > aTerm;
    }));
  return later >= Majority();
}

const DatabaseReport*
GroupState::LastReport(const std::string& aDatabase) const
{
  const auto found = states_.find(aDatabase);
  return found == states_.end() ? nullptr : &found->second.last;
}

std::optional<Core::Instant>
GroupState::UnreplacedUntil(Term aTerm) const
{
  std::vector<Core::Instant> requestTimes;
  for (const auto& [name, state] : states_) {
    if (state.last.promised == aTerm && !state.last.isJoining)
      requestTimes.push_back(state.lastRequestedAt);
  }
  if (requestTimes.size() < Majority())
    return std::nullopt;
  std::sort(requestTimes.rbegin(), requestTimes.rend());
  return requestTimes[Majority() - 1];
}

std::optional<Core::Duration>
GroupState::AgeOf(const LogPosition& aPosition, Core::Instant aNow) const
{
  for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
    if (!Session::Covers(aPosition, sample->log))
      continue;
    // Two instants bound the age: when the primary had nothing beyond this
    // sample, and until when a majority is known to have promised no later
    // term, so that no successor can have acknowledged a write. The earlier
    // one counts.
    if (const auto unreplacedUntil = UnreplacedUntil(sample->log.term))
      return aNow - std::min(sample->requestedAt, *unreplacedUntil);
  }
  return std::nullopt;
}

void
GroupState::AddSample(const Sample& aSample)
{
  if (!samples_.empty()) {
    Sample& last = samples_.back();
    // A report that arrives out of order gives a weaker bound.
    if (aSample.log.term < last.log.term ||
        aSample.requestedAt < last.requestedAt)
      return;
    if (aSample.log == last.log) {
      last.requestedAt = aSample.requestedAt;
      return;
    }
    if (aSample.requestedAt - last.requestedAt < kSampleSpacing)
      return;
  }
  samples_.push_back(aSample);
  if (samples_.size() > kMaxSamples)
    ThinSamples();
}

void
GroupState::ThinSamples()
{
  const Core::Instant newest = samples_.back().requestedAt;
  std::deque<Sample> kept;
  for (std::size_t i = 0; i < samples_.size(); ++i) {
    const bool isEnd = kept.empty() || i + 1 == samples_.size();
    const Core::Duration age = newest - samples_[i].requestedAt;
    if (isEnd || samples_[i + 1].requestedAt - kept.back().requestedAt >
                   age / kThinningRatio)
      kept.push_back(samples_[i]);
  }
  samples_ = std::move(kept);
}

} // namespace Endpoint
