#define BOOST_TEST_MODULE GroupSupervisor
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../Simulation/VirtualTime.h"

#include <LibAuthority/GroupSupervisor.h>

#include <algorithm>
#include <map>

using namespace std::chrono_literals;
using Authority::GroupRecord;
using Authority::PromoteResult;
using Authority::WriteResult;

namespace {

Authority::SupervisorTiming
Timing()
{
  Authority::SupervisorTiming timing;
  timing.authorityLease = { 7500ms, 1200ms };
  timing.clockMargin = 200ms;
  timing.probeInterval = 250ms;
  timing.probeTimeout = 500ms;
  timing.silenceLimit = 900ms;
  timing.choiceTimeout = 400ms;
  timing.promoteTimeout = 900ms;
  timing.promotionRetryInterval = 3000ms;
  timing.leavingTime = 7000ms;
  return timing;
}

struct FakeMember
{
  bool isReachable = true;
  bool isListed = true;
  std::int64_t startedAt = 1;
  Sql::DatabaseStatus status;
};

/** A group of three databases, and the node that runs its supervisor. */
class Fixture : public Authority::SupervisorPort
{
public:
  Fixture()
    : supervisor(time, *this, "g", Timing())
  {
    for (const std::string id : { "a", "b", "c" })
      members[id].status.term = 1;
    members["a"].status.isPrimary = true;
    for (auto& [id, member] : members)
      member.status.received = { 1, 100 };
    ListAll();
    timer = time.Every(50ms, [this] { supervisor.Tick(); });
  }
  ~Fixture() override
  {
    timer.reset();
    time.Close();
  }

  void ListAll()
  {
    std::vector<Authority::SupervisedDatabase> list;
    for (const auto& [id, member] : members) {
      const bool isLeaving = leaving.find(id) != std::string::npos;
      if (member.isListed)
        list.push_back({ id, "dc", isLeaving, member.startedAt });
    }
    supervisor.SetDatabases(list);
  }
  void AdvanceBy(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  /** The store comes back with the stored record, in its second era. */
  void RestoreStore()
  {
    stored->version = version = Authority::MakeStoreVersion(2, 3);
    supervisor.SetRecord(stored);
  }

  /** Runs until the supervisor has recorded the first primary. */
  void Begin()
  {
    AdvanceBy(500ms);
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->primary == "a");
  }

  bool HoldsDuty(Core::Duration) const override { return holdsDuty; }
  bool IsUnreachableByPeers(const std::string&, Core::Duration) const override
  {
    return !peersReachPrimary;
  }
  bool HasEnded(const std::string& aId) const override { return ended == aId; }
  bool IsOverloaded(const std::string&) const override { return isOverloaded; }
  void Probe(const std::string& aId,
             Core::Duration aTimeout,
             ProbeHandler aDone) override
  {
    const bool replies = members.contains(aId) && members[aId].isReachable;
    time.DeferFor(replies ? 2ms : aTimeout, [this, replies, aId, aDone] {
      Authority::ProbeOutcome outcome;
      if (replies)
        outcome.status = members[aId].status;
      aDone(outcome);
    });
  }
  void StepDown(const std::string& aId,
                Session::Term aTerm,
                Core::Duration aTimeout,
                ProbeHandler aDone) override
  {
    FakeMember& member = members[aId];
    if (member.isReachable && member.status.term < aTerm)
      member.status.isPrimary = false;
    Probe(aId, aTimeout, std::move(aDone));
  }
  void Promote(const std::string&,
               const std::string& aId,
               Core::Duration,
               std::function<void(PromoteResult)> aDone) override
  {
    promoted.push_back(aId);
    promotedAt = time.Now();
    time.DeferFor(2ms, [aDone] { aDone(PromoteResult::Accepted); });
    // The platform ignores the request if the database is already primary.
    if (members[aId].status.isPrimary)
      return;
    time.DeferFor(600ms, [this, aId] {
      if (!promotionsSucceed)
        return;
      members[aId].status.isPrimary = true;
      ++members[aId].status.term;
    });
  }
  std::uint64_t VersionOfMissingRow() const override { return 0; }
  std::optional<std::uint64_t> VersionOfUnreadableRow(
    const std::string&) const override
  {
    return unreadableVersion;
  }
  void WriteRecord(const GroupRecord& aRecord,
                   std::function<void(Authority::WriteOutcome)> aDone) override
  {
    if (!stored || stored->version == aRecord.version) {
      stored = aRecord;
      stored->version = ++version;
      if (aRecord.change && !changeBeganAt) {
        changeBeganAt = time.Now();
        onChange();
      }
      Reply(aDone, { WriteResult::Applied, version });
      return;
    }
    Reply(aDone, { WriteResult::Conflict, 0 });
  }
  void Reply(const std::function<void(Authority::WriteOutcome)>& aDone,
             Authority::WriteOutcome aOutcome)
  {
    time.DeferFor(4ms, [aDone, aOutcome] { aDone(aOutcome); });
  }
  void RevokeEverywhere(const GroupRecord&,
                        std::function<void()> aDone) override
  {
    if (allNodesReply)
      time.DeferFor(3ms, aDone);
  }
  void Log(std::string_view, boost::json::object) override {}

  Simulation::VirtualTime time;
  std::map<std::string, FakeMember> members;
  /** The letters are the ids of the databases that are about to leave. */
  std::string leaving;
  std::string ended;
  bool holdsDuty = true;
  bool peersReachPrimary = false;
  bool allNodesReply = true;
  bool isOverloaded = false;
  /** Called when the first change is written. */
  std::function<void()> onChange = [] {};
  bool promotionsSucceed = true;
  std::optional<GroupRecord> stored;
  std::optional<std::uint64_t> unreadableVersion;
  std::uint64_t version = 10;
  std::vector<std::string> promoted;
  Core::Instant promotedAt{};
  std::optional<Core::Instant> changeBeganAt;
  Authority::GroupSupervisor supervisor;
  Core::TimerHandle timer;
};

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
  holdsDuty = false;
  AdvanceBy(100ms);
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
 * A replica that has left must not be waited for when the primary is lost
 * later: by then the others have all of its acknowledged commits.
 */
BOOST_AUTO_TEST_CASE(DoesNotWaitForAReplicaThatHasLeftBefore)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["b"].isListed = false;
  ListAll();
  AdvanceBy(2s);
  members["a"].isReachable = false;
  AdvanceBy(3s);
  BOOST_TEST(stored->primary == "c");
  BOOST_TEST(!stored->change.has_value());
}

/**
 * A replica has left, and the other one lacks commits that only the former and
 * the primary have. When the primary is lost later, its return must be awaited.
 */
BOOST_AUTO_TEST_CASE(WaitsForAPrimaryWhoseOnlyCompleteReplicaHasLeft)
{
  supervisor.SetSyncReplicas(1);
  Begin();
  AdvanceBy(1s);
  members["c"].status.received = { 1, 50 };
  members["b"].isListed = false;
  ListAll();
  AdvanceBy(2s);
  members["a"].isReachable = false;
  AdvanceBy(10s);
  BOOST_TEST(promoted.empty());
  members["a"].isReachable = true;
  AdvanceBy(1s);
  BOOST_TEST(stored->primary == "a");
  BOOST_TEST(!stored->change.has_value());
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
