#pragma once

#include <LibAuthority/SupervisedGroup.h>
#include <LibCore/EnumNames.h>
#include <LibSql/DatabaseLink.h>

#include <map>

namespace Authority {

/**
 * The replies of a group's databases, from which their primary is determined
 * while the stored record can't be relied on.
 */
struct SurveyView
{
  /** None if the store has no record of the group. */
  const std::optional<GroupRecord>& record;
  const std::vector<SupervisedDatabase>& databases;
  /** The statuses received so far, by database id. */
  const std::map<std::string, Sql::DatabaseStatus>& statuses;
  /** The survey no longer waits for databases that have not replied. */
  bool isTimedOut = false;
};

enum class SurveyDecision
{
  /** Wait for more replies. */
  Wait,
  /** The database is the primary of a group without a record. */
  RecordFirst,
  /** No reply speaks against the record. */
  ConfirmRecord,
  /** The recorded primary has stepped down, or another one was promoted. */
  ReplacePrimary,
};

inline constexpr Core::EnumNames<SurveyDecision, 4> kSurveyDecisionNames{ {
  { { SurveyDecision::Wait, "wait" },
    { SurveyDecision::RecordFirst, "record_first" },
    { SurveyDecision::ConfirmRecord, "confirm_record" },
    { SurveyDecision::ReplacePrimary, "replace_primary" } },
} };

struct SurveyResult
{
  SurveyDecision decision = SurveyDecision::Wait;
  /** The primary to record; only with RecordFirst. */
  std::string database{};
};

/**
 * Decides whether a group's record holds although the store may have lost newer
 * ones in a restoration. A former primary may not have noticed that another
 * database was promoted, so its own reply alone proves nothing; a database that
 * knows of a later term does.
 */
SurveyResult
AssessPrimary(const SurveyView& aView);

} // namespace Authority
