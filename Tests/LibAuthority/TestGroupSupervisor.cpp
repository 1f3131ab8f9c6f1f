#define BOOST_TEST_MODULE GroupSupervisor
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "SupervisorFixture.h"

using namespace std::chrono_literals;
using Fixture = Fakes::SupervisorFixture;

namespace {

/** The limits of the time from the start of a change to the promotion. */
struct FenceCase
{
  const char* name;
  bool isPrimaryReachable;
  bool doAllNodesReply;
  Core::Duration earliest;
  Core::Duration latest;
};

std::ostream&
operator<<(std::ostream& aStream, const FenceCase& aCase)
{
  return aStream << aCase.name;
}

const FenceCase kFenceCases[] = {
  { "all nodes confirm", false, true, 0ms, 700ms },
  { "unreachable primary, one node does not reply",
    false,
    false,
    7700ms,
    8500ms },
  { "stepped down, one node does not reply", true, false, 1400ms, 2200ms },
};

/** A switchover from an overloaded primary whose replicas lag behind. */
struct SwitchoverCase
{
  const char* name;
  /** The replicas' received position; the primary's log ends at 100. */
  std::uint64_t received;
  /** The number of commits of the primary after the start of the change. */
  std::uint64_t lastCommits;
  /** How many of these commits replica "b" receives. */
  std::uint64_t lastCommitsReceived;
  /** The expected primary. */
  const char* primary;
};

std::ostream&
operator<<(std::ostream& aStream, const SwitchoverCase& aCase)
{
  return aStream << aCase.name;
}

const SwitchoverCase kSwitchoverCases[] = {
  { "replicas receive all", 100, 0, 0, "b" },
  { "replicas receive nothing", 90, 0, 0, "a" },
  { "the last commits are received", 100, 5, 5, "b" },
  { "the last commits are not received", 100, 5, 0, "a" },
};

/** The group after the store was restored; its record names "a" in term 1. */
struct RestoredRecordCase
{
  const char* name;
  /** "b" was promoted to lead term 2 since the copy was made. */
  bool hasSuccessor;
  /** "a" has noticed that. */
  bool hasSteppedDown;
  /** "c" does not reply. */
  bool isReplicaSilent;
  /** The time by which the record must be of the current era. */
  Core::Duration limit;
};

std::ostream&
operator<<(std::ostream& aStream, const RestoredRecordCase& aCase)
{
  return aStream << aCase.name;
}

const RestoredRecordCase kRestoredRecords[] = {
  { "the record is right", false, false, false, 600ms },
  { "the record is right, a replica is silent", false, false, true, 1000ms },
  { "replaced, and the former primary knows", true, true, false, 2000ms },
  { "replaced, and the former primary does not know",
    true,
    false,
    false,
    2000ms },
};

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture,
                       SwitchesOverAnOverloadedPrimary,
                       kSwitchoverCases,
                       aCase)
{
  Begin();
  for (const std::string id : { "b", "c" })
    members[id].status.received = { 1, aCase.received };
  supervisor.ReportPrimaryAlive({ time.Now(), { 1, 100 } });
  isOverloaded = true;
  onChange = [this, &aCase] {
    members["a"].status.received.position += aCase.lastCommits;
    time.DeferFor(20ms, [this, &aCase] {
      members["b"].status.received.position += aCase.lastCommitsReceived;
    });
  };
  AdvanceBy(5s);
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(stored->primary == aCase.primary);
  // No promotion that would lose commits was requested.
  BOOST_TEST(std::count(promoted.begin(), promoted.end(), "b") ==
             (aCase.primary == std::string("b") ? 1 : 0));
}

BOOST_DATA_TEST_CASE_F(Fixture, PromotesOnlyOnceThePrimaryIsFenced, kFenceCases)
{
  Begin();
  allNodesReply = sample.doAllNodesReply;
  if (sample.isPrimaryReachable) {
    leaving = "a";
    ListAll();
  } else {
    members["a"].isReachable = false;
  }
  AdvanceBy(11s);
  BOOST_REQUIRE(promoted.size() == 1);
  const Core::Duration waited = promotedAt - *changeBeganAt;
  BOOST_CHECK(waited >= sample.earliest);
  BOOST_CHECK(waited <= sample.latest);
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(stored->term == 2U);
  BOOST_TEST(stored->primary == promoted.front());
}

/**
 * After the store was restored from a copy, nodes may use a primary only once
 * the holder of the duty has written its record again. It must not do so if
 * another database was promoted since the copy was made: commits that the
 * successor acknowledged would be missing.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       ARestoredRecordIsConfirmedUnlessASuccessorLeads,
                       kRestoredRecords)
{
  Begin();
  members["a"].status.isPrimary = !sample.hasSteppedDown;
  members["c"].isReachable = !sample.isReplicaSilent;
  if (sample.hasSuccessor) {
    members["b"].status.isPrimary = true;
    members["b"].status.term = 2;
  }
  RestoreStore();
  BOOST_TEST(!stored->IsOfCurrentEra());
  AdvanceBy(sample.limit);
  BOOST_TEST(stored->IsOfCurrentEra());
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(stored->primary == (sample.hasSuccessor ? "b" : "a"));
  BOOST_TEST(stored->term == (sample.hasSuccessor ? 2U : 1U));
  BOOST_TEST(changeBeganAt.has_value() == sample.hasSuccessor);
  BOOST_TEST(promoted.empty());
  const std::uint64_t confirmedVersion = stored->version;
  members["c"].isReachable = true;
  AdvanceBy(5s);
  BOOST_TEST(stored->version == confirmedVersion);
}

BOOST_FIXTURE_TEST_SUITE(Supervisor, Fixture)

/**
 * A store that was restored from a copy without the group's record: a former
 * primary may not have noticed that another one replaced it.
 */
BOOST_AUTO_TEST_CASE(RecordsThePrimaryOfTheLatestTermFirst)
{
  members["b"].status.isPrimary = true;
  members["b"].status.term = 2;
  AdvanceBy(1s);
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->primary == "b");
  BOOST_TEST(stored->term == 2U);
}

/**
 * Another writer has overwritten the record, and no process knows it any more.
 * A database that doesn't reply may be the one that it named.
 */
BOOST_AUTO_TEST_CASE(AnUnreadableRecordIsReplacedOnceAllDatabasesReply)
{
  unreadableVersion = 9;
  members["c"].isReachable = false;
  AdvanceBy(5s);
  BOOST_TEST(!stored.has_value());
  members["c"].isReachable = true;
  AdvanceBy(2s);
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->primary == "a");
  BOOST_TEST(stored->basis == 9U);
}

BOOST_AUTO_TEST_CASE(KeepsAHealthyPrimary)
{
  Begin();
  AdvanceBy(20s);
  BOOST_TEST(promoted.empty());
}

/**
 * Guards against writes that nobody accepts for as long as reads go on. A
 * former primary refuses writes, but answers plain reads as before, so that
 * their replies don't show that another database has become primary.
 */
BOOST_AUTO_TEST_CASE(NoticesAFormerPrimaryThatStillAnswersReads)
{
  Begin();
  members["a"].status.isPrimary = false;
  members["b"].status.isPrimary = true;
  members["b"].status.term = 2;
  constexpr int kReads = 100;
  for (int i = 0; i < kReads; ++i) {
    supervisor.ReportPrimaryAlive({ time.Now(), { 1, 100 } });
    AdvanceBy(50ms);
  }
  BOOST_TEST(stored->primary == "b");
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(promoted.empty());
}

/**
 * Guards against switchovers that a group without synchronous replicas didn't
 * have: the answers to health checks, which come now and then, don't show that
 * the primary's log goes on growing, as those to statements do.
 */
BOOST_AUTO_TEST_CASE(SwitchesOverOnlyWithAPositionFromStatements)
{
  Begin();
  isOverloaded = true;
  AdvanceBy(5s);
  BOOST_TEST(promoted.empty());
  supervisor.ReportPrimaryAlive({ time.Now(), { 1, 100 } });
  AdvanceBy(2s);
  BOOST_TEST(promoted.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LimitsHowOftenItSwitchesOver)
{
  Begin();
  isOverloaded = true;
  const auto replies = time.Every(100ms, [this] {
    supervisor.ReportPrimaryAlive({ time.Now(), { 1, 100 } });
  });
  AdvanceBy(15s);
  BOOST_TEST(promoted.size() == 1U);
  AdvanceBy(5s);
  BOOST_TEST(promoted.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ChoosesTheLongestLog)
{
  Begin();
  members["c"].status.received = { 1, 120 };
  members["a"].isReachable = false;
  AdvanceBy(4s);
  BOOST_TEST(stored->primary == "c");
  BOOST_TEST(stored->starts.back().position == 120U);
}

BOOST_AUTO_TEST_CASE(DoesNotChooseADatabaseThatRestartedEmpty)
{
  Begin();
  members["b"].status.received = { 0, 0 };
  members["c"].status.received = { 1, 3 };
  members["a"].isReachable = false;
  AdvanceBy(4s);
  BOOST_TEST(stored->primary == "c");
}

BOOST_AUTO_TEST_CASE(WaitsForReplicasToReceiveALeavingPrimarysLog)
{
  Begin();
  members["a"].status.received = { 1, 105 };
  time.DeferFor(200ms, [this] { members["b"].status.received = { 1, 105 }; });
  leaving = "a";
  ListAll();
  AdvanceBy(4s);
  BOOST_TEST(stored->primary == "b");
}

BOOST_AUTO_TEST_CASE(KeepsAPrimaryThatPeersCanReach)
{
  Begin();
  peersReachPrimary = true;
  members["a"].isReachable = false;
  AdvanceBy(5s);
  BOOST_TEST(promoted.empty());
}

BOOST_AUTO_TEST_CASE(DoesNothingWithoutTheFailoverDuty)
{
  Begin();
  holdsDuty = false;
  members["a"].isReachable = false;
  AdvanceBy(20s);
  BOOST_TEST(promoted.empty());
  BOOST_TEST(!stored->change.has_value());
}

BOOST_AUTO_TEST_CASE(FinishesThePredecessorsChange)
{
  Begin();
  holdsDuty = false;
  AdvanceBy(100ms);
  stored->change = Authority::PrimaryChange{ "c" };
  stored->version = ++version;
  members["a"].isReachable = false;
  supervisor.SetRecord(stored);
  holdsDuty = true;
  AdvanceBy(3s);
  BOOST_TEST(stored->primary == "c");
  BOOST_TEST(promoted.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DetectsThatThePredecessorsPromotionSucceeded)
{
  Begin();
  holdsDuty = false;
  AdvanceBy(100ms);
  stored->change = Authority::PrimaryChange{ "c" };
  stored->version = ++version;
  members["c"].status.isPrimary = true;
  members["c"].status.term = 2;
  members["a"].isReachable = false;
  supervisor.SetRecord(stored);
  holdsDuty = true;
  AdvanceBy(3s);
  BOOST_TEST(stored->primary == "c");
  BOOST_TEST(promoted.empty());
}

/**
 * A primary that is removed before it is replaced hands its log and its role
 * over to a new database in the same term. The platform accepts requests to
 * promote that database but does nothing, since it is already primary. The
 * supervisor must record it as the primary instead of waiting for a higher
 * term.
 */
BOOST_AUTO_TEST_CASE(RecordsASuccessorDatabaseOfTheSameTerm)
{
  Begin();
  members.erase("a");
  members["d"].status = { true, 1, { 1, 100 }, {}, 0, 0 };
  ListAll();
  AdvanceBy(6s);
  BOOST_TEST(stored->primary == "d");
  BOOST_TEST(stored->term == 1U);
  BOOST_TEST(!stored->change.has_value());
}

/**
 * Another database replies at the primary's address, so no node can be using
 * the old primary, and its leases need not expire first.
 */
BOOST_AUTO_TEST_CASE(ReplacesAnEndedPrimaryWithoutWaitingForLeases)
{
  Begin();
  allNodesReply = false;
  members.erase("a");
  members["d"].status = { true, 1, { 1, 100 }, {}, 0, 0 };
  ListAll();
  ended = "a";
  AdvanceBy(700ms);
  BOOST_TEST(stored->primary == "d");
  BOOST_TEST(!stored->change.has_value());
}

BOOST_AUTO_TEST_CASE(CancelsAChangeWhenOnlyTheOldPrimaryResponds)
{
  Begin();
  members["a"].isReachable = false;
  members["b"].isReachable = false;
  members["c"].isReachable = false;
  AdvanceBy(2s);
  BOOST_REQUIRE(stored->change.has_value());
  members["a"].isReachable = true;
  members["a"].status.isPrimary = true;
  AdvanceBy(3s);
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(stored->primary == "a");
}

BOOST_AUTO_TEST_CASE(RestartsWhenAnotherNodeHasCompletedTheChange)
{
  Begin();
  allNodesReply = false;
  members["a"].isReachable = false;
  AdvanceBy(3s);
  BOOST_REQUIRE(stored->change.has_value());
  stored->Complete("b", 2, 100);
  stored->version = ++version;
  members["b"].status.isPrimary = true;
  members["b"].status.term = 2;
  supervisor.SetRecord(stored);
  AdvanceBy(10s);
  BOOST_TEST(promoted.empty());
  BOOST_TEST(stored->primary == "b");
}

BOOST_AUTO_TEST_CASE(RetriesAPromotionWithoutEffect)
{
  Begin();
  promotionsSucceed = false;
  members["a"].isReachable = false;
  AdvanceBy(4s);
  promotionsSucceed = true;
  AdvanceBy(6s);
  BOOST_TEST(promoted.size() >= 2U);
  BOOST_TEST(stored->term == 2U);
}

/**
 * The restored record has a change in progress that has been completed, and
 * whose new primary has been replaced since. Promoting its candidate again
 * would replace the present primary.
 */
BOOST_AUTO_TEST_CASE(ARestoredChangeDoesNotPromoteItsCandidateAgain)
{
  Begin();
  holdsDuty = false;
  AdvanceBy(100ms);
  members["a"].status.isPrimary = false;
  members["b"].status.isPrimary = true;
  for (auto& [id, member] : members)
    member.status.term = 3;
  stored->change = Authority::PrimaryChange{ "c" };
  RestoreStore();
  holdsDuty = true;
  AdvanceBy(3s);
  BOOST_TEST(stored->primary == "b");
  BOOST_TEST(stored->term == 3U);
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(promoted.empty());
}

BOOST_AUTO_TEST_SUITE_END()
