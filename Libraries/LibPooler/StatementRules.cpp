#include <LibPooler/StatementRules.h>

namespace Pooler {

using Sql::ErrorCode;

bool
MayChangeData(const StatementFacts& aFacts)
{
  if (aFacts.isInTransaction)
    return aFacts.isCommit && aFacts.hasTransactionWritten;
  return aFacts.isWrite;
}

std::optional<ErrorCode>
ErrorOnLostConnection(const StatementFacts& aFacts)
{
  if (aFacts.wasSent && MayChangeData(aFacts))
    return ErrorCode::InDoubt;
  // The database rolls back a transaction whose connection is lost before its
  // commit is sent.
  if (aFacts.isInTransaction)
    return ErrorCode::RolledBack;
  return std::nullopt;
}

ErrorCode
ErrorOnTimeout(const StatementFacts& aFacts)
{
  if (const auto error = ErrorOnLostConnection(aFacts))
    return *error;
  return aFacts.wasSent ? ErrorCode::Timeout : ErrorCode::Busy;
}

ErrorCode
ErrorOnFailedTransaction(const StatementFacts& aFacts, ErrorCode aCode)
{
  const bool mayBeCommitted =
    MayChangeData(aFacts) && !Sql::ImpliesNotExecuted(aCode);
  return mayBeCommitted ? ErrorCode::InDoubt : ErrorCode::RolledBack;
}

Reaction
ReactionTo(ErrorCode aCode, const StatementFacts& aFacts)
{
  const bool mayRepeat = Sql::ImpliesNotExecuted(aCode) || !aFacts.isWrite;
  if (!mayRepeat)
    return Reaction::Report;
  switch (aCode) {
    case ErrorCode::Lagging:
      return Reaction::TryAnotherDatabase;
    case ErrorCode::ReadOnly:
      return Reaction::AwaitPrimary;
    case ErrorCode::Timeout:
    case ErrorCode::Malformed:
    case ErrorCode::TooLarge:
      return Reaction::Report;
    default:
      return Reaction::RetryLater;
  }
}

} // namespace Pooler
