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
VerdictOnLostConnection(const StatementFacts& aFacts)
{
  if (aFacts.wasSent && MayChangeData(aFacts))
    return ErrorCode::InDoubt;
  // A transaction that lost its connection before its commit is rolled back.
  if (aFacts.isInTransaction)
    return ErrorCode::RolledBack;
  return std::nullopt;
}

ErrorCode
VerdictOnTimeOver(const StatementFacts& aFacts)
{
  if (const auto verdict = VerdictOnLostConnection(aFacts))
    return *verdict;
  return aFacts.wasSent ? ErrorCode::Timeout : ErrorCode::Busy;
}

ErrorCode
VerdictOnErrorInTransaction(const StatementFacts& aFacts, ErrorCode aCode)
{
  const bool mayBeKept = MayChangeData(aFacts) && !Sql::SaysNotRun(aCode);
  return mayBeKept ? ErrorCode::InDoubt : ErrorCode::RolledBack;
}

Reaction
ReactionTo(ErrorCode aCode, const StatementFacts& aFacts)
{
  const bool mayRepeat = Sql::SaysNotRun(aCode) || !aFacts.isWrite;
  if (!mayRepeat)
    return Reaction::Report;
  switch (aCode) {
    case ErrorCode::Lagging:
      return Reaction::GoElsewhere;
    case ErrorCode::ReadOnly:
      return Reaction::AwaitPrimary;
    case ErrorCode::Timeout:
    case ErrorCode::Malformed:
      return Reaction::Report;
    default:
      return Reaction::Wait;
  }
}

} // namespace Pooler
