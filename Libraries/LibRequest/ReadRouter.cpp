#include <LibRequest/ReadRouter.h>

#include <algorithm>

namespace Request {

namespace {

/**
 * Added to the expected wait of a database in another data centre: the round
 * trip to it.
 */
constexpr Core::Duration kRemotePenalty = std::chrono::milliseconds(2);
/**
 * Added to the expected wait of the primary, to keep its slots for writes and
 * for reads that accept no replica.
 */
constexpr Core::Duration kPrimaryPenalty = std::chrono::milliseconds(20);

Core::Duration
Cost(const ReadCandidate& aCandidate)
{
  Core::Duration cost = aCandidate.expectedWait;
  if (!aCandidate.isNear)
    cost += kRemotePenalty;
  if (aCandidate.isPrimary)
    cost += kPrimaryPenalty;
  return cost;
}

} // namespace

bool
ReadRouter::Satisfies(const ReadRequirements& aRequirements,
                      const LogPosition& aPosition,
                      const std::optional<Core::Duration>& aAge)
{
  return Session::Covers(aPosition, aRequirements.token) && aAge &&
         *aAge <= aRequirements.maxAge;
}

std::optional<std::string>
ReadRouter::Choose(const std::vector<ReadCandidate>& aCandidates,
                   const ReadRequirements& aRequirements)
{
  const bool primaryOnly = policy_ == ReadPolicy::PrimaryOnly ||
                           aRequirements.maxAge == Core::Duration::zero();
  std::vector<const ReadCandidate*> eligible;
  const ReadCandidate* primary = nullptr;
  for (const ReadCandidate& candidate : aCandidates) {
    if (candidate.isPrimary)
      primary = &candidate;
    if (!candidate.isReachable || candidate.isLeaving)
      continue;
    const bool isEligible =
      candidate.isPrimary ||
      (!primaryOnly &&
       Satisfies(aRequirements, candidate.position, candidate.age));
    if (isEligible)
      eligible.push_back(&candidate);
  }
  // A primary that is leaving serves reads until its successor is promoted.
  const ReadCandidate* chosen = eligible.empty() ? primary : Best(eligible);
  if (chosen == nullptr)
    return std::nullopt;
  return chosen->name;
}

const ReadCandidate*
ReadRouter::Best(const std::vector<const ReadCandidate*>& aEligible)
{
  if (policy_ == ReadPolicy::RoundRobin)
    return aEligible[roundRobinTurn_++ % aEligible.size()];
  return *std::min_element(
    aEligible.begin(),
    aEligible.end(),
    [this](const ReadCandidate* aLeft, const ReadCandidate* aRight) {
      if (policy_ == ReadPolicy::LeastConnections)
        return aLeft->connections < aRight->connections;
      return Cost(*aLeft) < Cost(*aRight);
    });
}

} // namespace Request
