#define BOOST_TEST_MODULE CandidateChoice
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibAuthority/CandidateChoice.h>

#include <ostream>

using Authority::CandidateDecision;

namespace {

/** In the record, "p" is the primary of term 3; "a" and "b" are replicas. */
constexpr Session::Term kTerm = 3;

struct Reply
{
  const char* id;
  bool isPrimary;
  Session::Term term;
  std::uint64_t received;
};

struct Case
{
  const char* name;
  std::vector<Reply> replies;
  /** The letters are the ids of the databases that are about to leave. */
  std::string leaving;
  std::optional<std::uint64_t> stepDownPosition;
  bool isTimedOut;
  CandidateDecision decision;
  std::string database;
  bool isSwitchover = false;
  int syncReplicas = 0;
};

std::ostream&
operator<<(std::ostream& aStream, const Case& aCase)
{
  return aStream << aCase.name;
}

constexpr auto kWait = CandidateDecision::Wait;
constexpr auto kPromote = CandidateDecision::Promote;

const std::vector<Case> kCases{
  { "no database replies", {}, "", {}, true, kWait, "" },
  { "one replica has not replied yet",
    { { "a", false, 3, 50 } },
    "",
    {},
    false,
    kWait,
    "" },
  { "one replica has not replied before the timeout",
    { { "a", false, 3, 50 } },
    "",
    {},
    true,
    kPromote,
    "a" },
  { "the replica with the longer log is chosen",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    {},
    false,
    kPromote,
    "b" },
  { "a log of a later term ranks above any of an earlier term",
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
  { "no replica has received the end of the old primary's log yet",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    60,
    false,
    kWait,
    "" },
  { "a replica has received the end of the old primary's log",
    { { "a", false, 3, 60 }, { "b", false, 3, 51 } },
    "",
    60,
    false,
    kPromote,
    "a" },
  { "no replica receives the end of the old primary's log in time",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    60,
    true,
    kPromote,
    "b" },
  { "the old primary isn't chosen while a replica replies",
    { { "p", false, 3, 90 }, { "a", false, 3, 50 }, { "b", false, 3, 40 } },
    "",
    {},
    false,
    kPromote,
    "a" },
  { "the old primary is considered only after the timeout",
    { { "p", false, 3, 90 } },
    "",
    {},
    false,
    kWait,
    "" },
  { "only the old primary replies, and has stepped down",
    { { "p", false, 3, 90 } },
    "",
    {},
    true,
    kPromote,
    "p" },
  { "only the old primary replies, and is still primary",
    { { "p", true, 3, 90 } },
    "",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p" },
  { "another database has been promoted already",
    { { "b", true, 4, 40 }, { "a", false, 3, 50 } },
    "",
    {},
    false,
    CandidateDecision::LeadsAlready,
    "b" },
  { "another database has taken over the same term and log",
    { { "b", true, 3, 40 } },
    "",
    {},
    false,
    CandidateDecision::LeadsAlready,
    "b" },
  { "a primary of an earlier term counts as a replica",
    { { "b", true, 2, 40 }, { "a", false, 3, 50 } },
    "",
    {},
    false,
    kPromote,
    "a" },
};

const std::vector<Case> kSwitchoverCases{
  { "a replica has the complete log of a primary that stepped down",
    { { "a", false, 3, 60 } },
    "",
    60,
    false,
    kPromote,
    "a",
    true },
  { "a replica has the complete log of a primary that has not stepped down",
    { { "p", true, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 60 } },
    "",
    {},
    false,
    kPromote,
    "b",
    true },
  { "the end of the primary's log is not known yet",
    { { "a", false, 3, 60 }, { "b", false, 3, 60 } },
    "",
    {},
    false,
    kWait,
    "",
    true },
  { "no replica has the complete log yet",
    { { "p", true, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 59 } },
    "",
    {},
    false,
    kWait,
    "",
    true },
  { "no replica receives the complete log of a primary still in place",
    { { "p", true, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 59 } },
    "",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p",
    true },
  { "no replica receives the complete log of a primary that stepped down",
    { { "p", false, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 59 } },
    "",
    60,
    true,
    kPromote,
    "p",
    true },
  { "only a leaving replica has the complete log",
    { { "p", true, 3, 60 }, { "a", false, 3, 60 }, { "b", false, 3, 59 } },
    "a",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p",
    true },
  { "the primary is lost during the switchover",
    { { "a", false, 3, 50 }, { "b", false, 3, 51 } },
    "",
    60,
    true,
    kPromote,
    "b",
    true },
};

/**
 * With synchronous replicas, a promotion must not lose acknowledged commits:
 * the chosen database has each commit that a replica may have acknowledged.
 */
const std::vector<Case> kSyncCases{
  { "a leaving replica has the longest log: time for the others",
    { { "a", false, 3, 50 }, { "b", false, 3, 60 } },
    "b",
    {},
    false,
    kWait,
    "",
    false,
    1 },
  { "a leaving replica has the longest log: no other has it in time",
    { { "a", false, 3, 50 }, { "b", false, 3, 60 } },
    "b",
    {},
    true,
    kPromote,
    "b",
    false,
    1 },
  { "all replicas are leaving",
    { { "a", false, 3, 50 }, { "b", false, 3, 60 } },
    "ab",
    {},
    true,
    kPromote,
    "b",
    false,
    1 },
  { "of equal logs, that of a replica that stays is chosen at once",
    { { "a", false, 3, 60 }, { "b", false, 3, 60 } },
    "b",
    {},
    false,
    kPromote,
    "a",
    false,
    1 },
  { "a silent replica may have commits that the other lacks",
    { { "a", false, 3, 50 } },
    "",
    {},
    true,
    kWait,
    "",
    false,
    1 },
  { "a silent, leaving replica may have them as well",
    { { "a", false, 3, 50 } },
    "b",
    {},
    true,
    kWait,
    "",
    false,
    1 },
  { "two synchronous replicas: each has all acknowledged commits",
    { { "a", false, 3, 50 } },
    "",
    {},
    true,
    kPromote,
    "a",
    false,
    2 },
  { "the old primary's reply shows that a replica has the complete log",
    { { "p", false, 3, 60 }, { "a", false, 3, 60 } },
    "",
    {},
    false,
    kPromote,
    "a",
    false,
    1 },
  { "the old primary stepped down where a replica's log ends, then went silent",
    { { "a", false, 3, 60 } },
    "",
    60,
    false,
    kPromote,
    "a",
    false,
    1 },
  { "the old primary stepped down with more than the only replica has",
    { { "a", false, 3, 50 } },
    "",
    60,
    true,
    kWait,
    "",
    false,
    1 },
  { "no replica has received the old primary's last, unacknowledged commit",
    { { "p", false, 3, 60 }, { "a", false, 3, 59 }, { "b", false, 3, 58 } },
    "",
    60,
    false,
    kPromote,
    "a",
    false,
    1 },
  { "only the old primary, which has stepped down, has the complete log",
    { { "p", false, 3, 60 }, { "a", false, 3, 50 } },
    "",
    60,
    true,
    kPromote,
    "p",
    false,
    1 },
  { "only the old primary, which still leads, has the complete log",
    { { "p", true, 3, 60 }, { "a", false, 3, 50 } },
    "p",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p",
    false,
    1 },
  { "the old primary goes before a leaving replica",
    { { "p", false, 3, 60 }, { "a", false, 3, 50 }, { "b", false, 3, 60 } },
    "b",
    60,
    true,
    kPromote,
    "p",
    false,
    1 },
  { "no database replies", {}, "", {}, true, kWait, "", false, 1 },
  { "another database has been promoted already",
    { { "b", true, 4, 40 } },
    "",
    {},
    false,
    CandidateDecision::LeadsAlready,
    "b",
    false,
    1 },
  { "a switchover: no replica has the complete log in time",
    { { "p", true, 3, 60 }, { "a", false, 3, 59 } },
    "",
    {},
    true,
    CandidateDecision::KeepPrimary,
    "p",
    true,
    1 },
  { "a switchover: the primary is lost, and a replica is silent",
    { { "a", false, 3, 50 } },
    "",
    {},
    true,
    kWait,
    "",
    true,
    1 },
};

} // namespace

BOOST_DATA_TEST_CASE(ChoosesTheNextPrimary,
                     boost::unit_test::data::make(kCases) +
                       boost::unit_test::data::make(kSwitchoverCases) +
                       boost::unit_test::data::make(kSyncCases),
                     aCase)
{
  Authority::SupervisedGroup group;
  group.configuredSyncReplicas = aCase.syncReplicas;
  group.record.emplace();
  group.record->primary = "p";
  group.record->term = kTerm;
  group.record->change =
    Authority::PrimaryChange{ .isSwitchover = aCase.isSwitchover };
  for (const char* id : { "p", "a", "b" })
    group.databases.push_back(
      { id, "dc", aCase.leaving.find(id) != std::string::npos });
  std::map<std::string, Sql::DatabaseStatus> statuses;
  for (const Reply& reply : aCase.replies) {
    Sql::DatabaseStatus& status = statuses[reply.id];
    status.isPrimary = reply.isPrimary;
    status.term = reply.term;
    status.received = { reply.term, reply.received };
  }
  std::optional<Session::LogPosition> stepDownPosition;
  if (aCase.stepDownPosition)
    stepDownPosition = Session::LogPosition{ kTerm, *aCase.stepDownPosition };
  const auto choice = Authority::ChooseCandidate(
    { group, statuses, stepDownPosition, aCase.isTimedOut });
  BOOST_TEST(Authority::kCandidateDecisionNames.NameOf(choice.decision) ==
             Authority::kCandidateDecisionNames.NameOf(aCase.decision));
  BOOST_TEST(choice.database == aCase.database);
}
