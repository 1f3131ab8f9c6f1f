#define BOOST_TEST_MODULE ClientTransactions
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "SessionFixture.h"

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using Fakes::Reply;
using Fakes::SessionFixture;
using Sql::ErrorCode;
using Sql::StatementKind;
using Sql::TransactionState;

namespace {

struct BrokenCase
{
  const char* name;
  StatementKind kind;
  const char* text;
  /** When the connections break; the reply takes a few milliseconds longer. */
  Core::Duration after;
  ErrorCode expected;
  TransactionState state;
};

std::ostream&
operator<<(std::ostream& aStream, const BrokenCase& aCase)
{
  return aStream << aCase.name;
}

const BrokenCase kBroken[] = {
  { "a write",
    StatementKind::Write,
    "STORE 2 y",
    2ms,
    ErrorCode::RolledBack,
    TransactionState::Failed },
  { "a commit",
    StatementKind::Commit,
    "COMMIT",
    3ms,
    ErrorCode::InDoubt,
    TransactionState::Idle },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Transactions, SessionFixture)

BOOST_AUTO_TEST_CASE(ATransactionOpensWithItsFirstStatementOnOneConnection)
{
  auto& session = Open("strong");
  BOOST_CHECK(Run(session, StatementKind::Begin, "BEGIN").state ==
              TransactionState::Open);
  BOOST_TEST(databases.At("p").ran.empty());
  Run(session, StatementKind::Write, "STORE 1 x", 100ms);
  const Reply reply = Run(session, StatementKind::Commit, "COMMIT", 100ms);
  BOOST_TEST(reply.signature == "signed-p");
  const std::vector<std::string> expected{ "begin", "r STORE 1 x", "r COMMIT" };
  BOOST_TEST(databases.At("p").ran == expected,
             boost::test_tools::per_element());
  BOOST_TEST(session.IsIdle());
}

BOOST_AUTO_TEST_CASE(ARollbackIsAcknowledgedAtOnce)
{
  auto& session = Open("strong");
  Run(session, StatementKind::Begin, "BEGIN");
  Run(session, StatementKind::Write, "STORE 1 x", 100ms);
  replies.clear();
  Send(session, StatementKind::Rollback, "ABORT");
  BOOST_REQUIRE(replies.size() == 1);
  AdvanceBy(100ms);
  BOOST_TEST(databases.At("p").HasRun("rollback"));
}

BOOST_AUTO_TEST_CASE(AnIdleTransactionIsRolledBackAndReported)
{
  auto& session = Open("strong");
  Run(session, StatementKind::Begin, "BEGIN", 10ms);
  Run(session, StatementKind::Write, "STORE 1 x", 100ms);
  AdvanceBy(3100ms);
  BOOST_TEST(databases.At("p").HasRun("rollback"));
  Renew();
  const Reply reply = Run(session, StatementKind::Commit, "COMMIT");
  BOOST_CHECK(reply.error == ErrorCode::RolledBack);
  BOOST_CHECK(reply.state == TransactionState::Idle);
  BOOST_TEST(!databases.At("p").HasRun("r COMMIT"));
}

BOOST_AUTO_TEST_CASE(AReadOnlyCommitAddsNoSample)
{
  AdvanceBy(3s);
  auto& session = Open("strong");
  Run(session, StatementKind::Begin, "BEGIN", 10ms);
  Run(session, StatementKind::Read, "FETCH 1", 100ms);
  const auto before = router.Samples().Newest();
  databases.At("p").isPrimary = false;
  BOOST_TEST(
    !Run(session, StatementKind::Commit, "COMMIT", 100ms).error.has_value());
  BOOST_CHECK(router.Samples().Newest() == before);
}

BOOST_AUTO_TEST_CASE(ARemovedRouteServesAnOpenTransactionToItsEnd)
{
  auto& session = Open("strong");
  Run(session, StatementKind::Begin, "BEGIN", 10ms);
  routes.erase("strong");
  BOOST_TEST(
    !Run(session, StatementKind::Read, "FETCH 1", 100ms).error.has_value());
  Run(session, StatementKind::Commit, "COMMIT", 100ms);
  BOOST_CHECK(Run(session, StatementKind::Read, "FETCH 1", 100ms).error ==
              ErrorCode::NoDatabase);
}

/**
 * Guards against an overloaded node that stops doing work: clients disconnect
 * in the middle of transactions, and connections that stayed bound to these
 * would be lost to others.
 */
BOOST_AUTO_TEST_CASE(ADisconnectInATransactionFreesTheConnection)
{
  router.SetConnectionLimit(1);
  auto& session = Open("strong");
  Run(session, StatementKind::Begin, "BEGIN", 10ms);
  Run(session, StatementKind::Write, "STORE 1 x", 100ms);
  sessions.clear();
  const Reply reply =
    Run(Open("strong"), StatementKind::Write, "STORE 2 y", 200ms);
  BOOST_TEST(!reply.error.has_value());
}

BOOST_DATA_TEST_CASE_F(SessionFixture,
                       ABrokenConnectionInATransaction,
                       data::make(kBroken))
{
  auto& session = Open("strong");
  Run(session, StatementKind::Begin, "BEGIN", 10ms);
  Run(session, StatementKind::Write, "STORE 1 x", 100ms);
  replies.clear();
  Send(session, sample.kind, sample.text);
  AdvanceBy(sample.after);
  databases.BreakConnections("p");
  AdvanceBy(100ms);
  BOOST_REQUIRE(replies.size() == 1);
  BOOST_CHECK(replies.front().error == sample.expected);
  BOOST_CHECK(replies.front().state == sample.state);
}

BOOST_AUTO_TEST_SUITE_END()
