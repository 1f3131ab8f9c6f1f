#include <LibAuthority/CandidateChoice.h>

#include <algorithm>

namespace Authority {

namespace {

/** The replicas that may lead, and how many of them have answered. */
struct Replicas
{
  std::size_t useful = 0;
  std::size_t answered = 0;
  const SupervisedDatabase* longest = nullptr;
};

Replicas
Compare(const CandidateView& aView)
{
  Replicas replicas;
  for (const SupervisedDatabase& database : aView.databases) {
    if (database.isLeaving || database.id == aView.record.primary)
      continue;
    ++replicas.useful;
    const auto status = aView.statuses.find(database.id);
    if (status == aView.statuses.end())
      continue;
    ++replicas.answered;
    if (replicas.longest == nullptr ||
        status->second.received >
          aView.statuses.at(replicas.longest->id).received)
      replicas.longest = &database;
  }
  return replicas;
}

/** Only the old primary is left: it may lead again, with its whole log. */
CandidateChoice
ConsiderPrimary(const CandidateView& aView)
{
  const std::string& primary = aView.record.primary;
  const auto status = aView.statuses.find(primary);
  const bool isListed =
    std::any_of(aView.databases.begin(),
                aView.databases.end(),
                [&primary](const SupervisedDatabase& aEntry) {
                  return aEntry.id == primary;
                });
  if (status == aView.statuses.end() || !isListed || !aView.isLate)
    return {};
  const bool isStillLeading =
    status->second.isPrimary && status->second.term == aView.record.term;
  return { isStillLeading ? CandidateDecision::KeepPrimary
                          : CandidateDecision::Promote,
           primary };
}

/** Where the old primary's log ends, as far as it has said so. */
std::optional<Session::LogPosition>
EndOfPrimary(const CandidateView& aView)
{
  if (aView.steppedDownAt)
    return aView.steppedDownAt;
  const auto status = aView.statuses.find(aView.record.primary);
  if (status == aView.statuses.end())
    return std::nullopt;
  return status->second.received;
}

/** The old primary is well: only a replica with its whole log takes over. */
CandidateChoice
ChooseWithoutLoss(const CandidateView& aView, const Replicas& aReplicas)
{
  const auto end = EndOfPrimary(aView);
  const SupervisedDatabase* longest = aReplicas.longest;
  const bool isSnapshot = end && longest != nullptr &&
                          aView.statuses.at(longest->id).received >= *end;
  if (isSnapshot)
    return { CandidateDecision::Promote, longest->id };
  return ConsiderPrimary(aView);
}

} // namespace

bool
LeadsInstead(const GroupRecord& aRecord,
             const std::string& aId,
             const Sql::DatabaseStatus& aStatus)
{
  if (!aStatus.isPrimary || aStatus.term < aRecord.term)
    return false;
  // A database that leaves for good hands its log, and its lead in the same
  // term, to a new one at its address.
  return aStatus.term > aRecord.term || aId != aRecord.primary;
}

CandidateChoice
ChooseCandidate(const CandidateView& aView)
{
  for (const auto& [id, status] : aView.statuses) {
    if (LeadsInstead(aView.record, id, status))
      return { CandidateDecision::LeadsAlready, id };
  }
  const Replicas replicas = Compare(aView);
  const bool mayBeLost =
    aView.isLate && !aView.statuses.contains(aView.record.primary);
  if (aView.record.change && aView.record.change->isVoluntary && !mayBeLost)
    return ChooseWithoutLoss(aView, replicas);
  if (replicas.longest == nullptr)
    return ConsiderPrimary(aView);
  const std::string& longest = replicas.longest->id;
  // What the old primary acknowledged is on its way to the replicas.
  const bool isShort =
    aView.steppedDownAt &&
    aView.statuses.at(longest).received < *aView.steppedDownAt;
  const bool mayGrow = replicas.answered < replicas.useful || isShort;
  if (mayGrow && !aView.isLate)
    return {};
  return { CandidateDecision::Promote, longest };
}

} // namespace Authority
