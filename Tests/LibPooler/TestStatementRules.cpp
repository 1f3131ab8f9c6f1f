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
constexpr StatementFacts kReadInside{ .isInTransaction = true };
constexpr StatementFacts kWriteInside{ .isInTransaction = true,
                                       .isWrite = true,
                                       .hasTransactionWritten = true };
constexpr StatementFacts kCommit{ .isInTransaction = true,
                                  .isCommit = true,
                                  .hasTransactionWritten = true };
constexpr StatementFacts kCommitOfReads{ .isInTransaction = true,
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
  /** None: it may be run elsewhere. */
  std::optional<ErrorCode> lost;
  ErrorCode timeOver;
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
  { "read inside",
    Sent(kReadInside),
    ErrorCode::RolledBack,
    ErrorCode::RolledBack },
  { "write inside",
    Sent(kWriteInside),
    ErrorCode::RolledBack,
    ErrorCode::RolledBack },
  { "commit, not sent", kCommit, ErrorCode::RolledBack, ErrorCode::RolledBack },
  { "commit, sent", Sent(kCommit), ErrorCode::InDoubt, ErrorCode::InDoubt },
  { "commit of reads",
    Sent(kCommitOfReads),
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
  { "a lagging replica", kRead, ErrorCode::Lagging, Reaction::GoElsewhere },
  { "a full database, read", kRead, ErrorCode::Busy, Reaction::Wait },
  { "a full database, write", kWrite, ErrorCode::Busy, Reaction::Wait },
  { "a former primary", kWrite, ErrorCode::ReadOnly, Reaction::AwaitPrimary },
  { "a read that failed", kRead, ErrorCode::Failed, Reaction::Wait },
  { "a write that failed", kWrite, ErrorCode::Failed, Reaction::Report },
  { "a write that timed out", kWrite, ErrorCode::Timeout, Reaction::Report },
  { "a read that timed out", kRead, ErrorCode::Timeout, Reaction::Report },
  { "an unknown code, write", kWrite, ErrorCode::Other, Reaction::Report },
  { "a text nobody reads", kRead, ErrorCode::Malformed, Reaction::Report },
};

struct InsideCase
{
  const char* name;
  StatementFacts facts;
  ErrorCode code;
  ErrorCode verdict;
};

std::ostream&
operator<<(std::ostream& aStream, const InsideCase& aCase)
{
  return aStream << aCase.name;
}

const InsideCase kInside[] = {
  { "a failed read",
    Sent(kReadInside),
    ErrorCode::Failed,
    ErrorCode::RolledBack },
  { "a failed write",
    Sent(kWriteInside),
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
    Sent(kCommitOfReads),
    ErrorCode::Failed,
    ErrorCode::RolledBack },
};

} // namespace

BOOST_DATA_TEST_CASE(SaysWhatIsKnownOfALoss, data::make(kLosses))
{
  BOOST_CHECK(Pooler::VerdictOnLostConnection(sample.facts) == sample.lost);
  BOOST_CHECK(Pooler::VerdictOnTimeOver(sample.facts) == sample.timeOver);
}

BOOST_DATA_TEST_CASE(RepeatsOnlyWhatHasNotRun, data::make(kErrors))
{
  BOOST_CHECK(Pooler::ReactionTo(sample.code, sample.facts) == sample.reaction);
}

BOOST_DATA_TEST_CASE(SaysWhatBecameOfATransaction, data::make(kInside))
{
  BOOST_CHECK(Pooler::VerdictOnErrorInTransaction(sample.facts, sample.code) ==
              sample.verdict);
}
