#define BOOST_TEST_MODULE ClientSession
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeDatabases.h"

#include <LibPooler/ClientSession.h>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using Pooler::Consistency;
using Sql::ErrorCode;
using Sql::StatementKind;
using Sql::TransactionState;

namespace {

constexpr Authority::AuthorityLease kLease{ 7500ms, 1200ms };

/** What a client was told. */
struct Answer
{
  std::optional<ErrorCode> error;
  std::string signature;
  TransactionState state = TransactionState::Idle;
};

/** One group of a primary "p" and replicas "a" and "b", and one client. */
class Fixture
  : public Pooler::SessionHost
  , public Pooler::ClientPort
{
public:
  Fixture()
    : databases(time)
    , router(time, databases, "g", "dc", kLease)
  {
    databases.Add("p", true);
    databases.Add("a", false);
    databases.Add("b", false);
    router.SetDatabases({ Listed("p"), Listed("a"), Listed("b") });
    router.SetConnectionLimit(2);
    Renew();
    AddRoute("strong", Consistency::Strong);
    AddRoute("bounded", Consistency::BoundedStaleness);
    AddRoute("own", Consistency::ReadYourWrites);
  }
  ~Fixture() override
  {
    sessions.clear();
    time.Close();
  }

  static Pooler::Database Listed(const std::string& aId)
  {
    Pooler::Database database;
    database.id = aId;
    database.group = "g";
    database.dataCentre = "dc";
    return database;
  }

  /** The store confirms now that the record holds. */
  void Renew() { router.ObserveRecord(record, time.Now()); }

  Pooler::ClientSession& Open(const std::string& aDatabase)
  {
    sessions.push_back(
      std::make_unique<Pooler::ClientSession>(time, *this, *this, aDatabase));
    return *sessions.back();
  }

  /** Sends a statement without waiting. */
  static void Send(Pooler::ClientSession& aSession,
                   StatementKind aKind,
                   const std::string& aText,
                   const std::string& aName = "",
                   const std::string& aArgument = "",
                   bool aPreparesWrite = false)
  {
    aSession.OnStatement(
      { aKind, "r", aText, aName, aArgument, aPreparesWrite });
  }

  void Pass(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  /** Sends a statement and gives the answer to it. */
  Answer Ask(Pooler::ClientSession& aSession,
             StatementKind aKind,
             const std::string& aText,
             Core::Duration aPatience = 1500ms)
  {
    answers.clear();
    Send(aSession, aKind, aText);
    Pass(aPatience);
    BOOST_REQUIRE(answers.size() == 1);
    return answers.front();
  }

  const Pooler::Route* FindRoute(std::string_view aDatabase) const override
  {
    const auto route = routes.find(std::string(aDatabase));
    return route == routes.end() ? nullptr : &route->second;
  }
  Pooler::GroupRouter* FindRouter(const std::string&) override
  {
    return &router;
  }
  Core::Duration TransactionIdleTimeout() const override { return 3s; }
  bool AcceptsWork() const override { return acceptsWork; }
  void Report(const Pooler::StatementReport& aReport) override
  {
    servedBy.push_back(aReport.result.database);
  }

  void SendSuccess(const std::vector<std::string>&,
                   std::string_view aSignature,
                   TransactionState aState) override
  {
    answers.push_back({ std::nullopt, std::string(aSignature), aState });
  }
  void SendError(const Sql::Error& aError, TransactionState aState) override
  {
    answers.push_back({ aError.code, "", aState });
  }
  void CloseSession() override { ++closed; }

  Simulation::VirtualTime time;
  Fakes::FakeDatabases databases;
  Authority::GroupRecord record{ "g", 1, "p", std::nullopt, {}, 1 };
  Pooler::GroupRouter router;
  std::map<std::string, Pooler::Route> routes;
  std::vector<std::unique_ptr<Pooler::ClientSession>> sessions;
  std::vector<Answer> answers;
  std::vector<std::string> servedBy;
  int closed = 0;
  bool acceptsWork = true;

private:
  void AddRoute(const std::string& aName, Consistency aConsistency)
  {
    Pooler::Route route;
    route.name = aName;
    route.group = "g";
    route.consistency = aConsistency;
    route.maxStaleness = 1500ms;
    route.statementTimeout = 1000ms;
    route.targetLatency = 200ms;
    routes[aName] = route;
  }
};

struct LossCase
{
  const char* name;
  const char* route;
  StatementKind kind;
  const char* text;
  /** What the client is told when the database's answer is lost. */
  std::optional<ErrorCode> expected;
};

std::ostream&
operator<<(std::ostream& aStream, const LossCase& aCase)
{
  return aStream << aCase.name;
}

const LossCase kLosses[] = {
  { "a strong read times out",
    "strong",
    StatementKind::Read,
    "FETCH 1",
    ErrorCode::Timeout },
  { "a write is in doubt",
    "strong",
    StatementKind::Write,
    "STORE 1 x",
    ErrorCode::InDoubt },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Sessions, Fixture)

BOOST_AUTO_TEST_CASE(AWriteGoesToThePrimaryUnchanged)
{
  const Answer answer =
    Ask(Open("strong"), StatementKind::Write, "STORE 1 some data");
  BOOST_TEST(!answer.error.has_value());
  BOOST_TEST(answer.signature == "signed-p");
  BOOST_TEST(databases.At("p").HasRun("r STORE 1 some data"));
}

BOOST_AUTO_TEST_CASE(ValuesAreAnsweredHereAndReplayedBeforeTheStatement)
{
  auto& session = Open("strong");
  Send(session, StatementKind::Set, "SET a b", "a", "b");
  BOOST_TEST(answers.back().signature == "-");
  BOOST_TEST(databases.At("p").ran.empty());
  Ask(session, StatementKind::Read, "FETCH 1");
  const std::vector<std::string> expected{ "set a=b", "r FETCH 1" };
  BOOST_TEST(databases.At("p").ran == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AnotherSessionsValuesAreClearedFirst)
{
  router.SetConnectionLimit(1);
  auto& first = Open("strong");
  Send(first, StatementKind::Set, "SET a b", "a", "b");
  Ask(first, StatementKind::Read, "FETCH 1", 100ms);
  databases.At("p").ran.clear();
  Ask(Open("strong"), StatementKind::Read, "FETCH 2", 300ms);
  const std::vector<std::string> expected{ "discard", "r FETCH 2" };
  BOOST_TEST(databases.At("p").ran == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ATransactionOpensWithItsFirstStatementOnOneConnection)
{
  auto& session = Open("strong");
  BOOST_CHECK(Ask(session, StatementKind::Begin, "BEGIN").state ==
              TransactionState::Open);
  BOOST_TEST(databases.At("p").ran.empty());
  Ask(session, StatementKind::Write, "STORE 1 x", 100ms);
  const Answer answer = Ask(session, StatementKind::Commit, "COMMIT", 100ms);
  BOOST_TEST(answer.signature == "signed-p");
  const std::vector<std::string> expected{ "begin", "r STORE 1 x", "r COMMIT" };
  BOOST_TEST(databases.At("p").ran == expected,
             boost::test_tools::per_element());
  BOOST_TEST(session.IsIdle());
}

BOOST_AUTO_TEST_CASE(ARollbackIsAnsweredAtOnce)
{
  auto& session = Open("strong");
  Ask(session, StatementKind::Begin, "BEGIN");
  Ask(session, StatementKind::Write, "STORE 1 x", 100ms);
  answers.clear();
  Send(session, StatementKind::Rollback, "ABORT");
  BOOST_REQUIRE(answers.size() == 1);
  Pass(100ms);
  BOOST_TEST(databases.At("p").HasRun("rollback"));
}

BOOST_AUTO_TEST_CASE(ARestingTransactionIsRolledBackAndTheClientTold)
{
  auto& session = Open("strong");
  Ask(session, StatementKind::Begin, "BEGIN", 10ms);
  Ask(session, StatementKind::Write, "STORE 1 x", 100ms);
  Pass(3100ms);
  BOOST_TEST(databases.At("p").HasRun("rollback"));
  Renew();
  const Answer answer = Ask(session, StatementKind::Commit, "COMMIT");
  BOOST_CHECK(answer.error == ErrorCode::RolledBack);
  BOOST_CHECK(answer.state == TransactionState::Idle);
  BOOST_TEST(!databases.At("p").HasRun("r COMMIT"));
}

BOOST_DATA_TEST_CASE_F(Fixture, ALostAnswer, data::make(kLosses))
{
  databases.At("p").answersToLose = 1;
  const Answer answer = Ask(Open(sample.route), sample.kind, sample.text, 3s);
  BOOST_CHECK(answer.error == sample.expected);
}

BOOST_AUTO_TEST_CASE(ABrokenConnectionRollsATransactionBack)
{
  auto& session = Open("strong");
  Ask(session, StatementKind::Begin, "BEGIN", 10ms);
  Ask(session, StatementKind::Write, "STORE 1 x", 100ms);
  answers.clear();
  Send(session, StatementKind::Write, "STORE 2 y");
  Pass(2ms);
  databases.BreakConnections("p");
  Pass(100ms);
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_CHECK(answers.front().error == ErrorCode::RolledBack);
  BOOST_CHECK(answers.front().state == TransactionState::Failed);
}

BOOST_AUTO_TEST_CASE(ACommitOnABrokenConnectionIsInDoubt)
{
  auto& session = Open("strong");
  Ask(session, StatementKind::Begin, "BEGIN", 10ms);
  Ask(session, StatementKind::Write, "STORE 1 x", 100ms);
  answers.clear();
  Send(session, StatementKind::Commit, "COMMIT");
  Pass(3ms);
  databases.BreakConnections("p");
  Pass(100ms);
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_CHECK(answers.front().error == ErrorCode::InDoubt);
}

BOOST_AUTO_TEST_CASE(ABusyDatabaseIsAskedAgain)
{
  databases.At("p").timesBusy = 2;
  const Answer answer = Ask(Open("strong"), StatementKind::Write, "STORE 1 x");
  BOOST_TEST(!answer.error.has_value());
  BOOST_TEST(databases.At("p").position == 101U);
}

BOOST_AUTO_TEST_CASE(AWriteWhoseAuthorityEndsMeanwhileIsInDoubt)
{
  databases.At("p").work = 500ms;
  auto& session = Open("strong");
  answers.clear();
  Send(session, StatementKind::Write, "STORE 1 x");
  Pass(100ms);
  Authority::GroupRecord change = record;
  change.change = Authority::PrimaryChange{};
  change.version = 2;
  router.ObserveRecord(change, Authority::kNever);
  Pass(800ms);
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_CHECK(answers.front().error == ErrorCode::InDoubt);
}

BOOST_AUTO_TEST_CASE(WithoutAuthorityNothingReachesThePrimary)
{
  Pass(8s);
  const Answer answer = Ask(Open("strong"), StatementKind::Write, "STORE 1 x");
  BOOST_CHECK(answer.error == ErrorCode::Busy);
  BOOST_TEST(databases.At("p").ran.empty());
}

/**
 * A node that is cut off from the store and its peers still has authority when
 * the primary has stepped down and another leads: a plain read there, answered
 * like a replica's, would lack what the new primary acknowledged.
 */
BOOST_AUTO_TEST_CASE(APlainReadAtAFormerPrimaryIsRefusedByTheDatabase)
{
  Pass(3s);
  databases.At("p").isPrimary = false;
  const Answer answer = Ask(Open("strong"), StatementKind::Read, "FETCH 1");
  BOOST_TEST(answer.error.has_value());
  BOOST_TEST(!databases.At("p").HasRun("r FETCH 1"));
}

/** The lease for plain reads ends while the read waits for a connection. */
BOOST_AUTO_TEST_CASE(AReadThatWaitedTooLongForAPlainOneIsFenced)
{
  router.SetConnectionLimit(1);
  Ask(Open("strong"), StatementKind::Read, "FETCH 1", 900ms);
  databases.At("p").work = 500ms;
  Send(Open("strong"), StatementKind::Write, "STORE 1 x");
  Pass(10ms);
  databases.At("p").work = 5ms;
  Send(Open("strong"), StatementKind::Read, "FETCH 2");
  Pass(600ms);
  const auto& ran = databases.At("p").ran;
  const auto read = std::find(ran.begin(), ran.end(), "r FETCH 2");
  BOOST_REQUIRE(read != ran.end());
  BOOST_TEST(*std::prev(read) == "begin");
}

/** A former primary still commits a transaction that wrote nothing. */
BOOST_AUTO_TEST_CASE(ACommitOfNothingProvesNothing)
{
  Pass(3s);
  auto& session = Open("strong");
  Ask(session, StatementKind::Begin, "BEGIN", 10ms);
  Ask(session, StatementKind::Read, "FETCH 1", 100ms);
  const auto before = router.Samples().Newest();
  databases.At("p").isPrimary = false;
  BOOST_TEST(
    !Ask(session, StatementKind::Commit, "COMMIT", 100ms).error.has_value());
  BOOST_CHECK(router.Samples().Newest() == before);
}

BOOST_AUTO_TEST_CASE(AFencedReadLeavesNoTransactionOpen)
{
  Pass(3s);
  const Answer answer = Ask(Open("strong"), StatementKind::Read, "FETCH 1");
  BOOST_TEST(answer.signature == "signed-p");
  const std::vector<std::string> expected{ "begin", "r FETCH 1", "rollback" };
  BOOST_TEST(databases.At("p").ran == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ABoundedReadRunsAtAReplicaThatHoldsTheSample)
{
  Ask(Open("strong"), StatementKind::Read, "FETCH 1", 100ms);
  auto& session = Open("bounded");
  servedBy.clear();
  Ask(session, StatementKind::Read, "FETCH 2", 100ms);
  BOOST_REQUIRE(servedBy.size() == 1);
  BOOST_TEST(servedBy.front() != "p");
}

/** Pattern: a dark replica holds the reads that it got, and gets more. */
BOOST_AUTO_TEST_CASE(AReadAtASilentReplicaIsAlsoRunElsewhere)
{
  Ask(Open("strong"), StatementKind::Read, "FETCH 1", 100ms);
  Ask(Open("bounded"), StatementKind::Read, "FETCH 2", 100ms);
  const std::string first = servedBy.back();
  databases.At(first).isDark = true;
  const Answer answer =
    Ask(Open("bounded"), StatementKind::Read, "FETCH 3", 400ms);
  BOOST_TEST(!answer.error.has_value());
  BOOST_TEST(servedBy.back() != first);
  servedBy.clear();
  Ask(Open("bounded"), StatementKind::Read, "FETCH 4", 50ms);
  BOOST_TEST(servedBy.back() != first);
}

BOOST_AUTO_TEST_CASE(TheQuickerOfTwoAnswersIsTakenAndNoConnectionIsLost)
{
  Ask(Open("strong"), StatementKind::Read, "FETCH 1", 100ms);
  databases.At("a").work = 300ms;
  databases.At("b").work = 300ms;
  databases.At("p").work = 300ms;
  const Answer answer =
    Ask(Open("bounded"), StatementKind::Read, "FETCH 2", 320ms);
  BOOST_TEST(!answer.error.has_value());
  Pass(2s);
  for (const auto& [id, pool] : router.Pools())
    BOOST_TEST(pool->InUse() == 0);
}

BOOST_AUTO_TEST_CASE(AReplicaThatLagsSendsTheReadElsewhere)
{
  Ask(Open("strong"), StatementKind::Read, "FETCH 1", 100ms);
  databases.At("a").position = 50;
  databases.At("b").position = 50;
  servedBy.clear();
  const Answer answer = Ask(Open("bounded"), StatementKind::Read, "FETCH 2");
  BOOST_TEST(!answer.error.has_value());
  BOOST_TEST(servedBy.back() == "p");
}

BOOST_AUTO_TEST_CASE(ASessionReadsItsOwnWriteBeforeReplicasHaveIt)
{
  auto& session = Open("own");
  Ask(session, StatementKind::Write, "STORE 1 x", 50ms);
  servedBy.clear();
  Ask(session, StatementKind::Read, "FETCH 1", 50ms);
  BOOST_TEST(servedBy.back() == "p");
  databases.At("a").position = 101;
  databases.At("b").position = 101;
  Pass(200ms);
  servedBy.clear();
  Ask(session, StatementKind::Read, "FETCH 1", 50ms);
  BOOST_TEST(servedBy.back() != "p");
}

BOOST_AUTO_TEST_CASE(AnUnknownPreparedNameIsSaidSo)
{
  auto& session = Open("strong");
  answers.clear();
  Send(session, StatementKind::Execute, "EXECUTE s1 1", "s1", "1");
  BOOST_CHECK(answers.back().error == ErrorCode::NoStatement);
}

BOOST_AUTO_TEST_CASE(ARouteThatIsGoneEndsWithTheTransaction)
{
  auto& session = Open("strong");
  Ask(session, StatementKind::Begin, "BEGIN", 10ms);
  routes.erase("strong");
  BOOST_TEST(
    !Ask(session, StatementKind::Read, "FETCH 1", 100ms).error.has_value());
  Ask(session, StatementKind::Commit, "COMMIT", 100ms);
  BOOST_CHECK(Ask(session, StatementKind::Read, "FETCH 1", 100ms).error ==
              ErrorCode::NoDatabase);
}

/** Pattern: an overloaded node stops; what it takes late is never done. */
BOOST_AUTO_TEST_CASE(AStoppingNodeTakesNothingThatItCouldNotFinish)
{
  auto& open = Open("strong");
  Ask(open, StatementKind::Begin, "BEGIN", 10ms);
  Ask(open, StatementKind::Write, "STORE 1 x", 100ms);
  acceptsWork = false;
  const Answer refused =
    Ask(Open("strong"), StatementKind::Write, "STORE 2 y", 10ms);
  BOOST_CHECK(refused.error == ErrorCode::Busy);
  BOOST_TEST(closed == 1);
  BOOST_TEST(!databases.At("p").HasRun("r STORE 2 y"));
  BOOST_TEST(!Ask(open, StatementKind::Commit, "COMMIT", 100ms).error);
}

BOOST_AUTO_TEST_CASE(WhatStillRunsAtTheEndIsAnswered)
{
  databases.At("p").work = 10s;
  auto& session = Open("strong");
  answers.clear();
  Send(session, StatementKind::Write, "STORE 1 x");
  Pass(100ms);
  session.GiveUp();
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_CHECK(answers.front().error == ErrorCode::InDoubt);
}

BOOST_AUTO_TEST_CASE(AClientThatLeavesInATransactionFreesItsConnection)
{
  router.SetConnectionLimit(1);
  auto& session = Open("strong");
  Ask(session, StatementKind::Begin, "BEGIN", 10ms);
  Ask(session, StatementKind::Write, "STORE 1 x", 100ms);
  sessions.clear();
  const Answer answer =
    Ask(Open("strong"), StatementKind::Write, "STORE 2 y", 200ms);
  BOOST_TEST(!answer.error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
