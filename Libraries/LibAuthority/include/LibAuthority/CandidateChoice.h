#pragma once

#include <LibAuthority/SupervisedGroup.h>
#include <LibCore/EnumNames.h>
#include <LibSql/DatabaseLink.h>

#include <map>
#include <optional>
#include <string>

namespace Authority {

/** The input of ChooseCandidate, once no node may use the old primary. */
struct CandidateView
{
  /** It has a record. */
  const SupervisedGroup& group;
  /** The statuses received so far, by database id. */
  const std::map<std::string, Sql::DatabaseStatus>& statuses;
  /** The end of the old primary's log after it stepped down, if it did. */
  std::optional<Session::LogPosition> stepDownPosition;
  /** The choice no longer waits for databases that have not replied. */
  bool isTimedOut = false;
  /** The old primary's log is known to have reached this position. */
  std::optional<Session::LogPosition> knownEnd{};
};

enum class CandidateDecision
{
  /** Wait for more replies. */
  Wait,
  /** Promote the database. */
  Promote,
  /** The database is already primary (see IsNewPrimary). */
  LeadsAlready,
  /**
   * No replica was chosen in time, and the old primary is still primary of the
   * record's term.
   */
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
 * Chooses the next primary: the replica with the longest log, or the old
 * primary if no replica replies in time.
 *
 * In a group with synchronous replicas, a database is chosen only if the
 * replies prove that it has all acknowledged commits. A replica that stays goes
 * first. If none has them in time, the old primary or a leaving replica is
 * chosen.
 *
 * In a switchover because of overload, a replica is chosen only if it has
 * received the old primary's complete log. If none has in time, the old primary
 * is kept, or promoted again if it has stepped down. If the old primary has not
 * replied by then, the choice is made as without a switchover.
 */
CandidateChoice
ChooseCandidate(const CandidateView& aView);

/**
 * True if aStatus shows that aId is a newer primary than the record's: primary
 * of a later term, or a different database that is primary of the same term.
 */
bool
IsNewPrimary(const GroupRecord& aRecord,
             const std::string& aId,
             const Sql::DatabaseStatus& aStatus);

} // namespace Authority
