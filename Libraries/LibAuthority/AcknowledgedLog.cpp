#include <LibAuthority/AcknowledgedLog.h>

#include <algorithm>

namespace Authority {

namespace {

/** The longest log among the replicas, if it has all acknowledged commits. */
std::optional<Session::LogPosition>
LongestOfEnoughReplicas(const CandidateView& aView)
{
  int silent = 0;
  std::optional<Session::LogPosition> longest;
  for (const SupervisedDatabase& database : aView.group.databases) {
    if (database.id == aView.group.record->primary)
      continue;
    const auto status = aView.statuses.find(database.id);
    if (status == aView.statuses.end())
      ++silent;
    else if (!longest || *longest < status->second.received)
      longest = status->second.received;
  }
  const bool maySilentOnesHaveMore = silent >= aView.group.syncReplicas;
  return maySilentOnesHaveMore ? std::nullopt : longest;
}

} // namespace

std::optional<Session::LogPosition>
OldPrimaryLogEnd(const CandidateView& aView)
{
  if (aView.stepDownPosition)
    return aView.stepDownPosition;
  const auto status = aView.statuses.find(aView.group.record->primary);
  if (status == aView.statuses.end())
    return std::nullopt;
  return status->second.received;
}

std::optional<Session::LogPosition>
AcknowledgedEnd(const CandidateView& aView)
{
  const auto ofReplicas = LongestOfEnoughReplicas(aView);
  const auto ofPrimary = OldPrimaryLogEnd(aView);
  if (ofReplicas && ofPrimary)
    return std::min(*ofReplicas, *ofPrimary);
  return ofReplicas ? ofReplicas : ofPrimary;
}

} // namespace Authority
