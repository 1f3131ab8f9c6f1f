#include <LibAuthority/CandidateChoice.h>

namespace Authority {

namespace {

/** The replicas that may become primary. */
struct Replicas
{
  std::size_t eligible = 0;
  /** How many of the eligible ones have replied. */
  std::size_t responded = 0;
  /** The replica with the longest log. */
  const SupervisedDatabase* longest = nullptr;
};

Replicas
CompareReplicas(const CandidateView& aView)
{
  Replicas replicas;
  for (const SupervisedDatabase& database : aView.group.databases) {
    if (database.isLeaving || database.id == aView.group.record->primary)
      continue;
    ++replicas.eligible;
    const auto status = aView.statuses.find(database.id);
    if (status == aView.statuses.end())
      continue;
    ++replicas.responded;
    if (replicas.longest == nullptr ||
        status->second.received >
          aView.statuses.at(replicas.longest->id).received)
      replicas.longest = &database;
  }
  return replicas;
}

/** Chooses aId, which has replied. */
CandidateChoice
LetLead(const CandidateView& aView, const std::string& aId)
{
  const GroupRecord& record = *aView.group.record;
  const Sql::DatabaseStatus& status = aView.statuses.at(aId);
  const bool isStillPrimary =
    aId == record.primary && status.isPrimary && status.term == record.term;
  return { isStillPrimary ? CandidateDecision::KeepPrimary
                          : CandidateDecision::Promote,
           aId };
}

/**
 * Falls back to the old primary once the time for the choice is over. It has
 * the complete log, so no commit is lost.
 */
CandidateChoice
ConsiderOldPrimary(const CandidateView& aView)
{
  const std::string& primary = aView.group.record->primary;
  const bool isListed = aView.group.Find(primary) != nullptr;
  if (!aView.statuses.contains(primary) || !isListed || !aView.isTimedOut)
    return {};
  return LetLead(aView, primary);
}

/** The end of the old primary's log; none if it has not reported it. */
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

/** Chooses a replica only if it has received the complete log. */
CandidateChoice
ChooseForSwitchover(const CandidateView& aView, const Replicas& aReplicas)
{
  const auto end = OldPrimaryLogEnd(aView);
  const SupervisedDatabase* longest = aReplicas.longest;
  const bool hasCompleteLog = end && longest != nullptr &&
                              aView.statuses.at(longest->id).received >= *end;
  if (hasCompleteLog)
    return { CandidateDecision::Promote, longest->id };
  return ConsiderOldPrimary(aView);
}

} // namespace

bool
IsNewPrimary(const GroupRecord& aRecord,
             const std::string& aId,
             const Sql::DatabaseStatus& aStatus)
{
  if (!aStatus.isPrimary || aStatus.term < aRecord.term)
    return false;
  // When a primary is removed, a new database at its address may take over its
  // log and its role. The term stays the same in that case.
  return aStatus.term > aRecord.term || aId != aRecord.primary;
}

CandidateChoice
ChooseCandidate(const CandidateView& aView)
{
  const GroupRecord& record = *aView.group.record;
  for (const auto& [id, status] : aView.statuses) {
    if (IsNewPrimary(record, id, status))
      return { CandidateDecision::LeadsAlready, id };
  }
  const Replicas replicas = CompareReplicas(aView);
  const bool isPrimaryLost =
    aView.isTimedOut && !aView.statuses.contains(record.primary);
  if (record.change && record.change->isSwitchover && !isPrimaryLost)
    return ChooseForSwitchover(aView, replicas);
  if (replicas.longest == nullptr)
    return ConsiderOldPrimary(aView);
  const std::string& longest = replicas.longest->id;
  // Commits that the old primary acknowledged may still be in transit to the
  // replicas.
  const bool isLogIncomplete =
    aView.stepDownPosition &&
    aView.statuses.at(longest).received < *aView.stepDownPosition;
  const bool mayImprove =
    replicas.responded < replicas.eligible || isLogIncomplete;
  if (mayImprove && !aView.isTimedOut)
    return {};
  return { CandidateDecision::Promote, longest };
}

} // namespace Authority
