#include <LibAuthority/CandidateChoice.h>
#include <LibAuthority/PrimarySurvey.h>

#include <algorithm>

namespace Authority {

namespace {

bool
HaveAllReplied(const SurveyView& aView)
{
  return std::all_of(
    aView.databases.begin(), aView.databases.end(), [&](const auto& aDatabase) {
      return aView.statuses.contains(aDatabase.id);
    });
}

/** The primary of the latest term; empty if no database is primary. */
std::string
LatestPrimary(const SurveyView& aView)
{
  std::string latest;
  for (const auto& [id, status] : aView.statuses) {
    if (status.isPrimary &&
        (latest.empty() || status.term > aView.statuses.at(latest).term))
      latest = id;
  }
  return latest;
}

bool
Contradicts(const GroupRecord& aRecord,
            const std::string& aId,
            const Sql::DatabaseStatus& aStatus)
{
  if (aStatus.term > aRecord.term || IsNewPrimary(aRecord, aId, aStatus))
    return true;
  return aId == aRecord.primary &&
         (!aStatus.isPrimary || aStatus.term != aRecord.term);
}

} // namespace

SurveyResult
AssessPrimary(const SurveyView& aView)
{
  const bool mayDecide =
    !aView.statuses.empty() && (aView.isTimedOut || HaveAllReplied(aView));
  if (!aView.record) {
    const std::string primary = LatestPrimary(aView);
    if (primary.empty() || !mayDecide)
      return {};
    return { SurveyDecision::RecordFirst, primary };
  }
  const bool isContradicted = std::any_of(
    aView.statuses.begin(), aView.statuses.end(), [&](const auto& aEntry) {
      return Contradicts(*aView.record, aEntry.first, aEntry.second);
    });
  if (isContradicted)
    return { SurveyDecision::ReplacePrimary };
  return { mayDecide ? SurveyDecision::ConfirmRecord : SurveyDecision::Wait };
}

} // namespace Authority
