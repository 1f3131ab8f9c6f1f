#define BOOST_TEST_MODULE PrimarySurvey
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibAuthority/PrimarySurvey.h>

#include <ostream>

using Authority::SurveyDecision;

namespace {

/** In the record, if there is one, "p" is the primary of term 3. */
constexpr Session::Term kTerm = 3;

struct Reply
{
  const char* id;
  bool isPrimary;
  Session::Term term;
};

struct Case
{
  const char* name;
  bool hasRecord;
  /** The group's databases are "p", "a" and "b". */
  std::vector<Reply> replies;
  bool isTimedOut;
  SurveyDecision decision;
  std::string database{};
};

std::ostream&
operator<<(std::ostream& aStream, const Case& aCase)
{
  return aStream << aCase.name;
}

constexpr auto kWait = SurveyDecision::Wait;
constexpr auto kConfirm = SurveyDecision::ConfirmRecord;
constexpr auto kReplace = SurveyDecision::ReplacePrimary;

const std::vector<Case> kCases{
  { "no database replies", true, {}, true, kWait },
  { "all replies agree with the record",
    true,
    { { "p", true, 3 }, { "a", false, 3 }, { "b", false, 3 } },
    false,
    kConfirm },
  { "a database that has not replied may be primary",
    true,
    { { "p", true, 3 }, { "a", false, 3 } },
    false,
    kWait },
  { "a database has not replied in time",
    true,
    { { "p", true, 3 }, { "a", false, 3 } },
    true,
    kConfirm },
  { "the recorded primary is silent",
    true,
    { { "a", false, 3 }, { "b", false, 2 } },
    true,
    kConfirm },
  { "the recorded primary has stepped down",
    true,
    { { "p", false, 3 } },
    false,
    kReplace },
  { "the recorded primary leads an earlier term, as after an empty restart",
    true,
    { { "p", true, 1 } },
    false,
    kReplace },
  { "another database leads a later term",
    true,
    { { "p", true, 3 }, { "a", true, 4 } },
    false,
    kReplace },
  { "a replica knows of a later term",
    true,
    { { "p", true, 3 }, { "a", false, 4 } },
    false,
    kReplace },
  { "another database has taken over the same term and log",
    true,
    { { "a", true, 3 } },
    false,
    kReplace },
  { "without a record: no primary yet",
    false,
    { { "p", false, 1 }, { "a", false, 1 }, { "b", false, 1 } },
    true,
    kWait },
  { "without a record: another one may be primary",
    false,
    { { "p", true, 1 } },
    false,
    kWait },
  { "without a record: one primary",
    false,
    { { "p", false, 1 }, { "a", true, 1 }, { "b", false, 1 } },
    false,
    SurveyDecision::RecordFirst,
    "a" },
  { "without a record: a former primary and its successor",
    false,
    { { "a", true, 1 }, { "b", true, 2 } },
    true,
    SurveyDecision::RecordFirst,
    "b" },
};

} // namespace

/**
 * After the store was restored from a copy, its record may name a primary that
 * another one has replaced, and that may not have noticed it.
 */
BOOST_DATA_TEST_CASE(TheRecordHoldsUnlessADatabaseContradictsIt,
                     boost::unit_test::data::make(kCases),
                     aCase)
{
  std::optional<Authority::GroupRecord> record;
  if (aCase.hasRecord) {
    record.emplace();
    record->primary = "p";
    record->term = kTerm;
  }
  std::vector<Authority::SupervisedDatabase> databases;
  for (const char* id : { "p", "a", "b" })
    databases.push_back({ id, "dc", false });
  std::map<std::string, Sql::DatabaseStatus> statuses;
  for (const Reply& reply : aCase.replies) {
    statuses[reply.id].isPrimary = reply.isPrimary;
    statuses[reply.id].term = reply.term;
  }
  const auto result =
    Authority::AssessPrimary({ record, databases, statuses, aCase.isTimedOut });
  BOOST_TEST(Authority::kSurveyDecisionNames.NameOf(result.decision) ==
             Authority::kSurveyDecisionNames.NameOf(aCase.decision));
  BOOST_TEST(result.database == aCase.database);
}
