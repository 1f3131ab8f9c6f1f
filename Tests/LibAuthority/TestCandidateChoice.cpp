#define BOOST_TEST_MODULE CandidateChoice
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibAuthority/CandidateChoice.h>

#include <ostream>

using Authority::CandidateDecision;

namespace {

/** The record says that "p" leads term 3; "a" and "b" are its replicas. */
constexpr Session::Term kTerm = 3;

struct Answer
{
  const char* id;
  bool isPrimary;
  Session::Term term;
  std::uint64_t received;
};

struct Case
{
  const char* name;
  std::vector<Answer> answers;
  std::string leaving;
  std::optional<std::uint64_t> steppedDownAt;
  bool isLate;
  CandidateDecision decision;
  std::string database;
  bool isVoluntary = false;
};

std::ostream&
operator<<(std::ostream& aStream, const Case& aCase)
{
  return aStream << aCase.name;
}

constexpr auto kWait = CandidateDecision::Wait;
constexpr auto kPromote = CandidateDecision::Promote;

const std::vector<Case> kCases{
  { "nobody answers", {}, "", {}, true, kWait, "" },
  { "one is still to answer",
    { { "a", false, 3, 50 } },
    "",
    {},
    false,
    kWait,
    "" },
  { "one is waited for no longer",
    { { "a", false, 3, 50 } },
    "",
    {},
    true,
    kPromote,
    "a" },
  { "the longer log wins",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    {},
    false,
    kPromote,
    "b" },
  { "a later term's log is longer than any of an earlier one",
    { { "a", false, 3, 50 }, { "b", false, 2, 90 } },
    "",
    {},
    false,
    kPromote,
    "a" },
  { "a leaving replica isn't chosen",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "b",
    {},
    false,
    kPromote,
    "a" },
  { "the end of the old primary's log is on its way",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    60,
    false,
    kWait,
    "" },
  { "the end of the old primary's log has come",
    { { "a", false, 3, 60 }, { "b", false, 3, 51 } },
    "",
    60,
    false,
    kPromote,
    "a" },
  { "the end of the old primary's log doesn't come",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    60,
    true,
    kPromote,
    "b" },
  { "the old primary isn't chosen while a replica answers",
    { { "p", false, 3, 90 }, { "a", false, 3, 50 }, { "b", false, 3, 40 } },
    "",
    {},
    false,
    kPromote,
    "a" },
  { "the old primary leads again only when it is late",
    { { "p", false, 3, 90 } },
    "",
    {},
    false,
    kWait,
    "" },
  { "only the old primary answers, and has stepped down",
    { { "p", false, 3, 90 } },
    "",
    {},
    true,
    kPromote,
    "p" },
  { "only the old primary answers, and still leads",
    { { "p", true, 3, 90 } },
    "",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p" },
  { "somebody was promoted already",
    { { "b", true, 4, 40 }, { "a", false, 3, 50 } },
    "",
    {},
    false,
    CandidateDecision::LeadsAlready,
    "b" },
  { "another one leads the same term, with the same log",
    { { "b", true, 3, 40 } },
    "",
    {},
    false,
    CandidateDecision::LeadsAlready,
    "b" },
  { "a primary of an earlier term is just a log",
    { { "b", true, 2, 40 }, { "a", false, 3, 50 } },
    "",
    {},
    false,
    kPromote,
    "a" },
};

const std::vector<Case> kVoluntaryCases{
  { "a replica has the whole log of a primary that stepped down",
    { { "a", false, 3, 60 } },
    "",
    60,
    false,
    kPromote,
    "a",
    true },
  { "a replica has the whole log of a primary that still leads",
    { { "p", true, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 60 } },
    "",
    {},
    false,
    kPromote,
    "b",
    true },
  { "where the primary's log ends isn't known yet",
    { { "a", false, 3, 60 }, { "b", false, 3, 60 } },
    "",
    {},
    false,
    kWait,
    "",
    true },
  { "no replica has the whole log yet",
    { { "p", true, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 59 } },
    "",
    {},
    false,
    kWait,
    "",
    true },
  { "no replica gets the whole log, and the primary still leads",
    { { "p", true, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 59 } },
    "",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p",
    true },
  { "no replica gets the whole log of a primary that stepped down",
    { { "p", false, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 59 } },
    "",
    60,
    true,
    kPromote,
    "p",
    true },
  { "a leaving replica has the whole log",
    { { "p", true, 3, 60 }, { "a", false, 3, 60 }, { "b", false, 3, 59 } },
    "a",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p",
    true },
  { "the primary is lost meanwhile",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    60,
    true,
    kPromote,
    "b",
    true },
};

} // namespace

BOOST_DATA_TEST_CASE(WhoLeadsNext,
                     boost::unit_test::data::make(kCases) +
                       boost::unit_test::data::make(kVoluntaryCases),
                     aCase)
{
  Authority::GroupRecord record;
  record.primary = "p";
  record.term = kTerm;
  record.change = Authority::PrimaryChange{ .isVoluntary = aCase.isVoluntary };
  std::vector<Authority::SupervisedDatabase> databases;
  for (const char* id : { "p", "a", "b" })
    databases.push_back({ id, "dc", aCase.leaving == id });
  std::map<std::string, Sql::DatabaseStatus> statuses;
  for (const Answer& answer : aCase.answers) {
    Sql::DatabaseStatus& status = statuses[answer.id];
    status.isPrimary = answer.isPrimary;
    status.term = answer.term;
    status.received = { answer.term, answer.received };
  }
  std::optional<Session::LogPosition> steppedDownAt;
  if (aCase.steppedDownAt)
    steppedDownAt = Session::LogPosition{ kTerm, *aCase.steppedDownAt };
  const auto choice = Authority::ChooseCandidate(
    { record, databases, statuses, steppedDownAt, aCase.isLate });
  BOOST_TEST(Authority::kCandidateDecisionNames.NameOf(choice.decision) ==
             Authority::kCandidateDecisionNames.NameOf(aCase.decision));
  BOOST_TEST(choice.database == aCase.database);
}
