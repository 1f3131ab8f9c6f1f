#define BOOST_TEST_MODULE StatementRules
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibPooler/StatementRules.h>

namespace data = boost::unit_test::data;
using Pooler::Reaction;
using Pooler::StatementFacts;
using Sql::ErrorCode;

namespace {

constexpr StatementFacts kRead{};
constexpr StatementFacts kWrite{ .isWrite = true };
constexpr StatementFacts kReadInTransaction{ .isInTransaction = true };
constexpr StatementFacts kWriteInTransaction{ .isInTransaction = true,
                                              .isWrite = true,
                                              .hasTransactionWritten = true };
constexpr StatementFacts kCommit{ .isInTransaction = true,
                                  .isCommit = true,
                                  .hasTransactionWritten = true };
constexpr StatementFacts kReadOnlyCommit{ .isInTransaction = true,
                                          .isCommit = true };

constexpr StatementFacts
Sent(StatementFacts aFacts)
{
  aFacts.wasSent = true;
  return aFacts;
}

struct LossCase
{
  const char* name;
  StatementFacts facts;
  /** Reported when the connection is lost; none: it may run elsewhere. */
  std::optional<ErrorCode> onLoss;
  ErrorCode onTimeout;
};

std::ostream&
operator<<(std::ostream& aStream, const LossCase& aCase)
{
  return aStream << aCase.name;
}

const LossCase kLosses[] = {
  { "read, not sent", kRead, std::nullopt, ErrorCode::Busy },
  { "read, sent", Sent(kRead), std::nullopt, ErrorCode::Timeout },
  { "write, not sent", kWrite, std::nullopt, ErrorCode::Busy },
  { "write, sent", Sent(kWrite), ErrorCode::InDoubt, ErrorCode::InDoubt },
  { "read in a transaction",
    Sent(kReadInTransaction),
    ErrorCode::RolledBack,
    ErrorCode::RolledBack },
  { "write in a transaction",
    Sent(kWriteInTransaction),
    ErrorCode::RolledBack,
    ErrorCode::RolledBack },
  { "commit, not sent", kCommit, ErrorCode::RolledBack, ErrorCode::RolledBack },
  { "commit, sent", Sent(kCommit), ErrorCode::InDoubt, ErrorCode::InDoubt },
  { "commit of reads",
    Sent(kReadOnlyCommit),
    ErrorCode::RolledBack,
    ErrorCode::RolledBack },
};

struct ErrorCase
{
  const char* name;
  StatementFacts facts;
  ErrorCode code;
  Reaction reaction;
};

std::ostream&
operator<<(std::ostream& aStream, const ErrorCase& aCase)
{
  return aStream << aCase.name;
}

const ErrorCase kErrors[] = {
  { "a lagging replica",
    kRead,
    ErrorCode::Lagging,
    Reaction::TryAnotherDatabase },
  { "a busy database, read", kRead, ErrorCode::Busy, Reaction::RetryLater },
  { "a busy database, write", kWrite, ErrorCode::Busy, Reaction::RetryLater },
  { "a former primary", kWrite, ErrorCode::ReadOnly, Reaction::AwaitPrimary },
  { "a read that failed", kRead, ErrorCode::Failed, Reaction::RetryLater },
  { "a write that failed", kWrite, ErrorCode::Failed, Reaction::Report },
  { "a write that timed out", kWrite, ErrorCode::Timeout, Reaction::Report },
  { "a read that timed out", kRead, ErrorCode::Timeout, Reaction::Report },
  { "a read that is too large", kRead, ErrorCode::TooLarge, Reaction::Report },
  { "an unknown code, write", kWrite, ErrorCode::Other, Reaction::Report },
  { "a malformed statement", kRead, ErrorCode::Malformed, Reaction::Report },
};

struct TransactionErrorCase
{
  const char* name;
  StatementFacts facts;
  ErrorCode code;
  ErrorCode expected;
};

std::ostream&
operator<<(std::ostream& aStream, const TransactionErrorCase& aCase)
{
  return aStream << aCase.name;
}

const TransactionErrorCase kTransactionErrors[] = {
  { "a failed read",
    Sent(kReadInTransaction),
    ErrorCode::Failed,
    ErrorCode::RolledBack },
  { "a failed write",
    Sent(kWriteInTransaction),
    ErrorCode::Failed,
    ErrorCode::RolledBack },
  { "a commit that wasn't run",
    Sent(kCommit),
    ErrorCode::ReadOnly,
    ErrorCode::RolledBack },
  { "a commit that failed",
    Sent(kCommit),
    ErrorCode::Failed,
    ErrorCode::InDoubt },
  { "a commit that timed out",
    Sent(kCommit),
    ErrorCode::Timeout,
    ErrorCode::InDoubt },
  { "a commit of reads that failed",
    Sent(kReadOnlyCommit),
    ErrorCode::Failed,
    ErrorCode::RolledBack },
};

} // namespace

BOOST_DATA_TEST_CASE(ReportsLostConnectionsAndTimeouts, data::make(kLosses))
{
  BOOST_CHECK(Pooler::ErrorOnLostConnection(sample.facts) == sample.onLoss);
  BOOST_CHECK(Pooler::ErrorOnTimeout(sample.facts) == sample.onTimeout);
}

BOOST_DATA_TEST_CASE(RetriesOnlyStatementsWithoutEffect, data::make(kErrors))
{
  BOOST_CHECK(Pooler::ReactionTo(sample.code, sample.facts) == sample.reaction);
}

BOOST_DATA_TEST_CASE(ReportsTheOutcomeOfAFailedTransaction,
                     data::make(kTransactionErrors))
{
  BOOST_CHECK(Pooler::ErrorOnFailedTransaction(sample.facts, sample.code) ==
              sample.expected);
}
