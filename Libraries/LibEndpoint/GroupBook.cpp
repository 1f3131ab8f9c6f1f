#include <LibEndpoint/GroupBook.h>

#include <algorithm>
#include <utility>

namespace Endpoint {

namespace {

/** Samples kept; beyond this, older ones are thinned out. */
constexpr std::size_t kMostSamples = 512;
/** Closer samples than this add nothing to an age. */
constexpr Core::Duration kSampleSpacing = std::chrono::milliseconds(5);
/** A sample may be dropped when its neighbours are this part of its age. */
constexpr int kThinningRatio = 32;

} // namespace

GroupBook::GroupBook(std::vector<std::string> aDatabases)
  : names_(std::move(aDatabases))
{
}

void
GroupBook::SetDatabases(std::vector<std::string> aDatabases)
{
  names_ = std::move(aDatabases);
  std::erase_if(known_, [this](const auto& aEntry) {
    return std::find(names_.begin(), names_.end(), aEntry.first) ==
           names_.end();
  });
}

void
GroupBook::Take(const std::string& aDatabase,
                const DatabaseReport& aReport,
                Core::Instant aRequestedAt)
{
  if (std::find(names_.begin(), names_.end(), aDatabase) == names_.end())
    return;
  Known& known = known_[aDatabase];
  // A late answer of an identity whose log is lost says nothing any more.
  if (known.retired.contains(aReport.identity))
    return;
  if (known.last.identity != aReport.identity)
    Retire(known);
  highestTerm_ = std::max(highestTerm_, aReport.promised);

  const bool confirms = aReport.IsSettled() && !aReport.isJoining;
  if (confirms)
    known.confirmed = std::max(known.confirmed, aReport.log);
  // Answers can overtake each other; the promise tells which is the later.
  const bool isNewer = aReport.promised > known.last.promised ||
                       (aReport.promised == known.last.promised &&
                        aRequestedAt >= known.lastAskedAt);
  if (isNewer) {
    known.last = aReport;
    known.lastAskedAt = aRequestedAt;
  }
  if (aReport.isPrimary && aReport.IsSettled())
    AddSample({ aRequestedAt, aReport.log });
}

void
GroupBook::Retire(Known& aKnown)
{
  std::set<std::string> retired = std::move(aKnown.retired);
  if (!aKnown.last.identity.empty())
    retired.insert(aKnown.last.identity);
  aKnown = Known{};
  aKnown.retired = std::move(retired);
}

std::optional<std::string>
GroupBook::Primary() const
{
  for (const auto& [name, known] : known_) {
    if (known.last.isPrimary && known.last.IsSettled() &&
        known.last.promised == highestTerm_)
      return name;
  }
  return std::nullopt;
}

bool
GroupBook::IsConfirmed(const LogPosition& aPosition,
                       std::size_t aRequired) const
{
  const auto holders = static_cast<std::size_t>(
    std::count_if(known_.begin(), known_.end(), [&](const auto& aEntry) {
      const LogPosition& held = aEntry.second.confirmed;
      return held.term == aPosition.term && held.position >= aPosition.position;
    }));
  return holders >= (aRequired == 0 ? Majority() : aRequired);
}

bool
GroupBook::IsConfirmedSince(const LogPosition& aPosition,
                            Core::Instant aSince,
                            std::size_t aRequired) const
{
  const auto holders = static_cast<std::size_t>(
    std::count_if(known_.begin(), known_.end(), [&](const auto& aEntry) {
      const Known& known = aEntry.second;
      return known.lastAskedAt >= aSince && known.last.IsSettled() &&
             !known.last.isJoining && known.last.log.term == aPosition.term &&
             known.last.log.position >= aPosition.position;
    }));
  return holders >= (aRequired == 0 ? Majority() : aRequired);
}

bool
GroupBook::IsReplaced(Term aTerm) const
{
  const auto later = static_cast<std::size_t>(
    std::count_if(known_.begin(), known_.end(), [aTerm](const auto& aEntry) {
      return aEntry.second.last.promised > aTerm;
    }));
  return later >= Majority();
}

const DatabaseReport*
GroupBook::LastReport(const std::string& aDatabase) const
{
  const auto found = known_.find(aDatabase);
  return found == known_.end() ? nullptr : &found->second.last;
}

std::optional<Core::Instant>
GroupBook::LoyalSince(Term aTerm) const
{
  std::vector<Core::Instant> asked;
  for (const auto& [name, known] : known_) {
    if (known.last.promised == aTerm && !known.last.isJoining)
      asked.push_back(known.lastAskedAt);
  }
  if (asked.size() < Majority())
    return std::nullopt;
  std::sort(asked.rbegin(), asked.rend());
  return asked[Majority() - 1];
}

std::optional<Core::Duration>
GroupBook::AgeOf(const LogPosition& aPosition, Core::Instant aNow) const
{
  for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
    if (!Session::Covers(aPosition, sample->log))
      continue;
    // Two things bound the age: when the primary had no more than this, and
    // up to when a majority is known to have promised nothing later, so that
    // no successor had acknowledged anything. The earlier one counts.
    if (const auto loyalSince = LoyalSince(sample->log.term))
      return aNow - std::min(sample->requestedAt, *loyalSince);
  }
  return std::nullopt;
}

void
GroupBook::AddSample(const Sample& aSample)
{
  if (!samples_.empty()) {
    Sample& last = samples_.back();
    // An answer that was overtaken proves less than the one already here.
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
  if (samples_.size() > kMostSamples)
    ThinSamples();
}

void
GroupBook::ThinSamples()
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
