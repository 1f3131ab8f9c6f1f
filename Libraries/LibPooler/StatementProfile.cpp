#include <LibPooler/StatementProfile.h>

namespace Pooler {

bool
StatementProfile::IsInTransaction() const
{
  return context_.transaction != nullptr;
}

bool
StatementProfile::IsFirstInTransaction() const
{
  return IsInTransaction() && context_.transaction->connection == nullptr;
}

bool
StatementProfile::IsCommit() const
{
  return statement_.kind == Sql::StatementKind::Commit;
}

bool
StatementProfile::IsWrite() const
{
  if (statement_.kind != Sql::StatementKind::Execute)
    return statement_.kind == Sql::StatementKind::Write;
  const auto prepared = context_.prepared.find(statement_.name);
  return prepared != context_.prepared.end() && prepared->second.isWrite;
}

const std::string*
StatementProfile::PreparedText() const
{
  if (statement_.kind != Sql::StatementKind::Execute)
    return nullptr;
  return &context_.prepared.at(statement_.name).preparedText;
}

std::string
StatementProfile::WorkKind() const
{
  const char* step = IsCommit() ? "/commit" : IsWrite() ? "/write" : "/read";
  return context_.route.name + step;
}

RoutingRequirements
StatementProfile::Requirements() const
{
  RoutingRequirements requirements;
  const bool onlyReads =
    IsInTransaction() ? context_.transaction->isReadOnly : !IsWrite();
  requirements.needsPrimary =
    !onlyReads || context_.route.consistency == Consistency::Strong;
  requirements.maxStaleness = context_.route.maxStaleness;
  if (context_.route.consistency == Consistency::ReadYourWrites)
    requirements.sessionFloor = context_.floor;
  return requirements;
}

StatementFacts
StatementProfile::Facts(bool aWasSent) const
{
  StatementFacts facts;
  // Until its first statement, a transaction isn't open at any database.
  facts.isInTransaction = IsInTransaction() && !IsFirstInTransaction();
  facts.isCommit = IsCommit();
  facts.isWrite = IsWrite();
  facts.hasTransactionWritten =
    IsInTransaction() && context_.transaction->hasWritten;
  facts.wasSent = aWasSent;
  return facts;
}

} // namespace Pooler
