#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/EnumNames.h>
#include <LibSql/DatabaseLink.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Authority {

/** A database of the group as the platform's list shows it. */
struct SupervisedDatabase
{
  std::string id;
  std::string dataCentre;
  bool isLeaving = false;
};

/** What is known once nobody may use the old primary any more. */
struct CandidateView
{
  const GroupRecord& record;
  const std::vector<SupervisedDatabase>& databases;
  /** The answers so far, by the database's id. */
  const std::map<std::string, Sql::DatabaseStatus>& statuses;
  /** Where the old primary's log ended once it had stepped down. */
  std::optional<Session::LogPosition> steppedDownAt;
  /** Those who haven't answered yet are not waited for any longer. */
  bool isLate = false;
};

enum class CandidateDecision
{
  /** More answers may come. */
  Wait,
  /** The database is to be promoted. */
  Promote,
  /** The database leads already. */
  LeadsAlready,
  /** Nobody else can lead, and the old primary never stopped leading. */
  KeepPrimary,
};

inline constexpr Core::EnumNames<CandidateDecision, 4> kCandidateDecisionNames{
  {
    { { CandidateDecision::Wait, "wait" },
      { CandidateDecision::Promote, "promote" },
      { CandidateDecision::LeadsAlready, "leads_already" },
      { CandidateDecision::KeepPrimary, "keep_primary" } },
  }
};

struct CandidateChoice
{
  CandidateDecision decision = CandidateDecision::Wait;
  /** Empty for Wait. */
  std::string database{};
};

/**
 * Chooses who leads next: the replica with the longest log, the old primary
 * only if nobody else answers. In a voluntary change the old primary leads on
 * unless a replica holds its whole log, or it is lost meanwhile.
 */
CandidateChoice
ChooseCandidate(const CandidateView& aView);

/** True if a database leads that isn't the primary of the record. */
bool
LeadsInstead(const GroupRecord& aRecord,
             const std::string& aId,
             const Sql::DatabaseStatus& aStatus);

} // namespace Authority
