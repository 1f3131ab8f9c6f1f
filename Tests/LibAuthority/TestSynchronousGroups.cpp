#define BOOST_TEST_MODULE SynchronousGroups
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "SupervisorFixture.h"

using namespace std::chrono_literals;
using Fixture = Fakes::SupervisorFixture;
using Fakes::Timing;

namespace {

/**
 * The primary "a" is lost at position 100 of a group with one synchronous
 * replica. "c" has received nothing since position 50.
 */
struct LostPrimaryCase
{
  const char* name;
  /** The letters are the ids of the databases that are about to leave. */
  const char* leaving;
  /** How long "b", which has the complete log, doesn't reply. */
  Core::Duration silence;
  /** The former primary comes back with its log after this time. */
  Core::Duration returnsAfter;
  /** The duty passes on to another node in the middle of the change. */
  bool isHandedOver;
  const char* primary;
};

std::ostream&
operator<<(std::ostream& aStream, const LostPrimaryCase& aCase)
{
  return aStream << aCase.name;
}

constexpr Core::Duration kNever = 1h;

const LostPrimaryCase kLostPrimaries[] = {
  { "the replica with the log is leaving", "b", 0s, kNever, false, "b" },
  { "both replicas are leaving", "bc", 0s, kNever, false, "b" },
  { "the replica with the log is silent for a while",
    "",
    6s,
    kNever,
    false,
    "b" },
  { "a leaving replica with the log is silent for a while",
    "b",
    6s,
    kNever,
    false,
    "b" },
  { "the former primary comes back first", "", kNever, 6s, false, "a" },
  { "a hand-over while the replica with the log is silent",
    "",
    6s,
    kNever,
    true,
    "b" },
};

/**
 * The primary "a" of a group with one synchronous replica is about to leave;
 * its log ends at 100.
 */
struct LeavingPrimaryCase
{
  const char* name;
  /** The letters are the ids of the databases that are about to leave. */
  const char* leaving;
  /** The replicas' received positions. */
  std::uint64_t receivedByB;
  std::uint64_t receivedByC;
  /** "c" has the complete log after this time. */
  Core::Duration catchesUpAfter;
  /** The primary after 10 s. */
  const char* primary;
  /** When the change begins, if there is one. */
  Core::Duration earliest;
  Core::Duration latest;
};

std::ostream&
operator<<(std::ostream& aStream, const LeavingPrimaryCase& aCase)
{
  return aStream << aCase.name;
}

const LeavingPrimaryCase kLeavingPrimaries[] = {
  { "another replica has the log", "a", 100, 50, kNever, "b", 0s, 300ms },
  { "a leaving replica has the log, another one catches up",
    "ab",
    100,
    50,
    3s,
    "c",
    3s,
    3300ms },
  { "a leaving replica has the log, no other one catches up",
    "ab",
    100,
    50,
    kNever,
    "b",
    7s,
    7500ms },
  { "all databases are leaving", "abc", 100, 50, kNever, "b", 7s, 7500ms },
  { "no replica has the log", "a", 90, 50, kNever, "a", 0s, 0s },
  { "no replica has the log, all are leaving",
    "abc",
    90,
    50,
    kNever,
    "a",
    0s,
    0s },
};

/**
 * "b" leaves a group with one synchronous replica whose primary "a" has a log
 * of 100 entries. Some time later the primary is lost, and returns.
 */
struct DepartedReplicaCase
{
  const char* name;
  /** The position that "c" has received. */
  std::uint64_t received;
  const char* primary;
};

std::ostream&
operator<<(std::ostream& aStream, const DepartedReplicaCase& aCase)
{
  return aStream << aCase.name;
}

const DepartedReplicaCase kDepartedReplicas[] = {
  { "the other replica has all commits", 100, "c" },
  { "the other replica lacks commits", 50, "a" },
};

} // namespace

/**
 * Guards against a promotion that loses commits which a synchronous replica has
 * received and the primary has acknowledged: that replica was left out of the
 * choice because it was leaving, or because it didn't reply at once.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       KeepsAcknowledgedCommitsOfALostPrimary,
                       kLostPrimaries)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  leaving = sample.leaving;
  ListAll();
  members["c"].status.received = { 1, 50 };
  members["a"].isReachable = false;
  members["b"].isReachable = sample.silence == 0s;
  time.DeferFor(sample.silence, [this] { members["b"].isReachable = true; });
  time.DeferFor(sample.returnsAfter,
                [this] { members["a"].isReachable = true; });
  AdvanceBy(4s);
  if (sample.isHandedOver) {
    holdsDuty = false;
    AdvanceBy(500ms);
    holdsDuty = true;
  }
  AdvanceBy(8s);
  BOOST_TEST(stored->primary == sample.primary);
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(std::count(promoted.begin(), promoted.end(), "c") == 0);
}

/**
 * Guards against a planned replacement that loses acknowledged commits: a
 * leaving primary, which still ran, was made to step down, and a replica was
 * promoted that had not received all of its log. Nobody needs to be without a
 * primary while no replica can take over.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       KeepsALeavingPrimaryUntilAReplicaHasItsLog,
                       kLeavingPrimaries)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  members["b"].status.received = { 1, sample.receivedByB };
  members["c"].status.received = { 1, sample.receivedByC };
  supervisor.ReportPrimaryAlive({ time.Now(), { 1, 100 } });
  leaving = sample.leaving;
  ListAll();
  const Core::Instant begin = time.Now();
  time.DeferFor(sample.catchesUpAfter, [this] {
    members["c"].status.received = { 1, 100 };
  });
  AdvanceBy(10s);
  BOOST_TEST(stored->primary == sample.primary);
  BOOST_TEST(!stored->change.has_value());
  const bool isReplaced = sample.primary != std::string("a");
  BOOST_TEST(promoted.size() == (isReplaced ? 1U : 0U));
  BOOST_TEST(changeBeganAt.has_value() == isReplaced);
  if (changeBeganAt) {
    BOOST_CHECK(*changeBeganAt - begin >= sample.earliest);
    BOOST_CHECK(*changeBeganAt - begin <= sample.latest);
  }
}

/**
 * A replica that has left must be waited for only if it may have had commits
 * that, besides it, only the primary has.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       WaitsForAReplicaThatHasLeftOnlyIfItIsNeeded,
                       kDepartedReplicas)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["c"].status.received = { 1, sample.received };
  members["b"].isReachable = false;
  members["b"].isListed = false;
  ListAll();
  AdvanceBy(2s);
  members["a"].isReachable = false;
  AdvanceBy(10s);
  const bool isReplaced = sample.primary == std::string("c");
  BOOST_TEST(promoted.empty() != isReplaced);
  members["a"].isReachable = true;
  AdvanceBy(1s);
  BOOST_TEST(stored->primary == sample.primary);
  BOOST_TEST(!stored->change.has_value());
}

BOOST_FIXTURE_TEST_SUITE(Supervisor, Fixture)

/**
 * Guards against a promotion that loses acknowledged commits because the only
 * replica that has them is cut off: the platform has dropped it from its list,
 * so that all listed replicas reply. The next holder of the duty, whose process
 * never saw it listed, must wait for it as well.
 */
BOOST_AUTO_TEST_CASE(WaitsForAReplicaThatIsNoLongerListed)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["b"].isListed = false;
  members["c"].status.received = { 1, 50 };
  members["a"].isReachable = false;
  ListAll();
  AdvanceBy(5s);
  BOOST_TEST(promoted.empty());
  BOOST_TEST(supervisor.IsChoiceWaiting());
  holdsDuty = false;
  AdvanceBy(100ms);
  BOOST_TEST(!supervisor.IsChoiceWaiting());
  Authority::GroupSupervisor successor(time, *this, "g", Timing());
  successor.SetDatabases({ { "a", "dc", false, 1 }, { "c", "dc", false, 1 } });
  successor.SetRecord(stored);
  timer = time.Every(50ms, [&] { successor.Tick(); });
  holdsDuty = true;
  AdvanceBy(10s);
  BOOST_TEST(promoted.empty());
  successor.SetDatabases({ { "a", "dc", false, 1 },
                           { "b", "dc", false, 1 },
                           { "c", "dc", false, 1 } });
  AdvanceBy(3s);
  BOOST_TEST(stored->primary == "b");
  timer.reset();
}

/**
 * Guards against a leaving primary that steps down and is promoted again all
 * the time: its last commit isn't acknowledged, so that the replica which takes
 * over seems to have all, and a silent one might have it.
 */
BOOST_AUTO_TEST_CASE(ALeavingPrimaryIsNotReplacedAgainAndAgain)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["a"].status.received = { 1, 101 };
  members["c"].isReachable = false;
  leaving = "a";
  ListAll();
  const auto replies = time.Every(100ms, [this] {
    supervisor.ReportPrimaryAlive({ time.Now(), { 1, 100 } });
  });
  AdvanceBy(6s);
  BOOST_TEST(promoted.size() >= 1U);
  BOOST_TEST(promoted.size() <= 2U);
}

/**
 * Guards against a promotion that loses acknowledged commits because a replica
 * that is only cut off from the platform's list was taken for gone while the
 * other one had all commits, and then was the only one to receive more.
 */
BOOST_AUTO_TEST_CASE(WaitsForAnUnlistedReplicaThatStillAnswers)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["b"].isListed = false;
  ListAll();
  AdvanceBy(5s);
  for (const std::string id : { "a", "b" })
    members[id].status.received = { 1, 120 };
  members["a"].isReachable = false;
  AdvanceBy(5s);
  BOOST_TEST(promoted.empty());
  members["b"].isListed = true;
  ListAll();
  AdvanceBy(3s);
  BOOST_TEST(stored->primary == "b");
}

/**
 * A database restarts without its log after it has replied. The former reply
 * must not make it primary.
 */
BOOST_AUTO_TEST_CASE(ARestartDuringTheChoiceDiscardsTheReply)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["c"].isReachable = false;
  members["a"].isReachable = false;
  AdvanceBy(5s);
  BOOST_TEST(promoted.empty());
  members["b"].startedAt = 2;
  members["b"].isReachable = false;
  ListAll();
  members["a"].isReachable = true;
  members["a"].status.isPrimary = false;
  AdvanceBy(5s);
  BOOST_TEST(std::count(promoted.begin(), promoted.end(), "b") == 0);
  BOOST_TEST(stored->primary == "a");
}

/**
 * Guards against a promotion that loses acknowledged commits because the
 * replica that had them has restarted empty, and replies.
 */
BOOST_AUTO_TEST_CASE(AReplicaThatRestartedEmptyProvesNothing)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["c"].status.received = { 1, 50 };
  members["b"].status.received = { 1, 0 };
  members["b"].startedAt = 2;
  members["a"].isReachable = false;
  ListAll();
  AdvanceBy(10s);
  BOOST_TEST(promoted.empty());
  members["a"].isReachable = true;
  AdvanceBy(1s);
  BOOST_TEST(stored->primary == "a");
  BOOST_TEST(!stored->change.has_value());
}

/**
 * Guards against a promotion that loses acknowledged commits because the old
 * primary has restarted empty: the end of its log then seems to be far below
 * that of each replica.
 */
BOOST_AUTO_TEST_CASE(APrimaryThatRestartedEmptyProvesNothing)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  supervisor.ReportPrimaryAlive({ time.Now(), { 1, 100 } });
  members["b"].isReachable = false;
  members["c"].status.received = { 1, 50 };
  members["a"].status = { false, 1, { 1, 0 }, {}, 0, 0 };
  AdvanceBy(10s);
  BOOST_TEST(promoted.empty());
  members["b"].isReachable = true;
  AdvanceBy(3s);
  BOOST_TEST(stored->primary == "b");
}

/**
 * The configuration can't be read by the holder of the duty. The record says
 * that acknowledged commits must be kept.
 */
BOOST_AUTO_TEST_CASE(KeepsAcknowledgedCommitsWithoutAConfiguration)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  holdsDuty = false;
  Authority::GroupSupervisor successor(time, *this, "g", Timing());
  successor.SetDatabases({ { "a", "dc", false, 1 },
                           { "b", "dc", true, 1 },
                           { "c", "dc", false, 1 } });
  successor.SetRecord(stored);
  timer = time.Every(50ms, [&] { successor.Tick(); });
  holdsDuty = true;
  members["c"].status.received = { 1, 50 };
  members["a"].isReachable = false;
  AdvanceBy(5s);
  BOOST_TEST(stored->primary == "b");
  timer.reset();
}

/** Without synchronous replicas, the record is written only for changes. */
BOOST_AUTO_TEST_CASE(WithoutSynchronousReplicasTheRecordListsNoHolders)
{
  supervisor.SetSyncReplicas(0);
  Begin();
  const std::uint64_t before = stored->version;
  members["b"].isListed = false;
  ListAll();
  AdvanceBy(5s);
  BOOST_TEST(stored->version == before);
  BOOST_TEST(stored->logHolders.empty());
}

BOOST_AUTO_TEST_SUITE_END()
