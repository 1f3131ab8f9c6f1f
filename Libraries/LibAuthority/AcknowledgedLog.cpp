#include <LibAuthority/AcknowledgedLog.h>

#include <algorithm>

namespace Authority {

namespace {

/** The reply of a log holder; null if it has not replied, or is not listed. */
const Sql::DatabaseStatus*
ReplyOf(const CandidateView& aView, const LogHolder& aHolder)
{
  const SupervisedDatabase* database = aView.group.Find(aHolder.id);
  const auto status = aView.statuses.find(aHolder.id);
  const bool hasReplied = database != nullptr &&
                          database->startedAt == aHolder.startedAt &&
                          status != aView.statuses.end();
  return hasReplied ? &status->second : nullptr;
}

/** The longest log among the replicas, if it has all acknowledged commits. */
std::optional<Session::LogPosition>
LongestOfEnoughReplicas(const CandidateView& aView)
{
  int silent = 0;
  std::optional<Session::LogPosition> longest;
  for (const LogHolder& holder : aView.group.LogHolders()) {
    if (holder.id == aView.group.record->primary)
      continue;
    const Sql::DatabaseStatus* reply = ReplyOf(aView, holder);
    if (reply == nullptr)
      ++silent;
    else if (!longest || *longest < reply->received)
      longest = reply->received;
  }
  const bool maySilentOnesHaveMore = silent >= aView.group.SyncReplicas();
  return maySilentOnesHaveMore ? std::nullopt : longest;
}

/**
 * True if the old primary's log can't end at aEnd, since it once was longer: a
 * database may restart under its id without its log.
 */
bool
HasLostItsLog(const CandidateView& aView, const Session::LogPosition& aEnd)
{
  if (aView.knownEnd && aEnd < *aView.knownEnd)
    return true;
  const GroupRecord& record = *aView.group.record;
  return !record.starts.empty() && record.starts.back().term == record.term &&
         aEnd.position < record.starts.back().position;
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
  auto ofPrimary = OldPrimaryLogEnd(aView);
  if (ofPrimary && HasLostItsLog(aView, *ofPrimary))
    ofPrimary.reset();
  if (ofReplicas && ofPrimary)
    return std::min(*ofReplicas, *ofPrimary);
  return ofReplicas ? ofReplicas : ofPrimary;
}

} // namespace Authority
