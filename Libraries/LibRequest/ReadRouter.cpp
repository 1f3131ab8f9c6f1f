#include <LibRequest/ReadRouter.h>

#include <algorithm>

namespace Request {

namespace {

/** What reading from another data centre costs: there and back. */
constexpr Core::Duration kFarPenalty = std::chrono::milliseconds(2);
/** The primary's slots are wanted for writes and for reads without an age. */
constexpr Core::Duration kPrimaryPenalty = std::chrono::milliseconds(20);

Core::Duration
Cost(const ReadCandidate& aCandidate)
{
  Core::Duration cost = aCandidate.expectedWait;
  if (!aCandidate.isNear)
    cost += kFarPenalty;
  if (aCandidate.isPrimary)
    cost += kPrimaryPenalty;
  return cost;
}

} // namespace

bool
ReadRouter::Satisfies(const ReadNeeds& aNeeds,
                      const LogPosition& aPosition,
                      const std::optional<Core::Duration>& aAge)
{
  return Session::Covers(aPosition, aNeeds.token) && aAge &&
         *aAge <= aNeeds.maxAge;
}

std::optional<std::string>
ReadRouter::Choose(const std::vector<ReadCandidate>& aCandidates,
                   const ReadNeeds& aNeeds)
{
  const bool primaryOnly = policy_ == ReadPolicy::PrimaryOnly ||
                           aNeeds.maxAge == Core::Duration::zero();
  std::vector<const ReadCandidate*> fit;
  const ReadCandidate* primary = nullptr;
  for (const ReadCandidate& candidate : aCandidates) {
    if (candidate.isPrimary)
      primary = &candidate;
    if (!candidate.isReachable || candidate.isLeaving)
      continue;
    const bool isFit =
      candidate.isPrimary ||
      (!primaryOnly && Satisfies(aNeeds, candidate.position, candidate.age));
    if (isFit)
      fit.push_back(&candidate);
  }
  // A leaving primary still serves until its successor is promoted.
  const ReadCandidate* chosen = fit.empty() ? primary : Best(fit);
  if (chosen == nullptr)
    return std::nullopt;
  return chosen->name;
}

const ReadCandidate*
ReadRouter::Best(const std::vector<const ReadCandidate*>& aFit)
{
  if (policy_ == ReadPolicy::RoundRobin)
    return aFit[turn_++ % aFit.size()];
  return *std::min_element(
    aFit.begin(),
    aFit.end(),
    [this](const ReadCandidate* aLeft, const ReadCandidate* aRight) {
      if (policy_ == ReadPolicy::LeastConnections)
        return aLeft->connections < aRight->connections;
      return Cost(*aLeft) < Cost(*aRight);
    });
}

} // namespace Request
