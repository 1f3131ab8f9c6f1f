#include <LibAuthority/AcknowledgedLog.h>
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

/** Which of several databases with all acknowledged commits goes first. */
enum class Preference
{
  Replica,
  /** There was a reason to replace it. */
  OldPrimary,
  /** It has to be replaced again soon. */
  LeavingReplica,
  LeavingOldPrimary,
};

Preference
PreferenceOf(const CandidateView& aView, const SupervisedDatabase& aDatabase)
{
  if (aDatabase.id == aView.group.record->primary)
    return aDatabase.isLeaving ? Preference::LeavingOldPrimary
                               : Preference::OldPrimary;
  return aDatabase.isLeaving ? Preference::LeavingReplica : Preference::Replica;
}

bool
IsPreferred(const CandidateView& aView,
            const SupervisedDatabase& aLeft,
            const SupervisedDatabase& aRight)
{
  const Preference left = PreferenceOf(aView, aLeft);
  const Preference right = PreferenceOf(aView, aRight);
  if (left != right)
    return left < right;
  return aView.statuses.at(aLeft.id).received >
         aView.statuses.at(aRight.id).received;
}

/**
 * Chooses a database that has all acknowledged commits, and none, for as long
 * as it takes, while the replies don't prove that one has.
 */
CandidateChoice
ChooseWithAcknowledgedCommits(const CandidateView& aView)
{
  const auto end = AcknowledgedEnd(aView);
  if (!end)
    return {};
  const SupervisedDatabase* best = nullptr;
  for (const SupervisedDatabase& database : aView.group.databases) {
    const auto status = aView.statuses.find(database.id);
    if (status == aView.statuses.end() || status->second.received < *end)
      continue;
    if (best == nullptr || IsPreferred(aView, database, *best))
      best = &database;
  }
  if (best == nullptr)
    return {};
  const bool mayImprove = PreferenceOf(aView, *best) != Preference::Replica;
  if (mayImprove && !aView.isTimedOut)
    return {};
  return LetLead(aView, best->id);
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
  if (aView.group.KeepsAcknowledgedCommits())
    return ChooseWithAcknowledgedCommits(aView);
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
