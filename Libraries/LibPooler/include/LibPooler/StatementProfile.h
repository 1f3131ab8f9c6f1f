#pragma once

#include <LibPooler/GroupRouter.h>
#include <LibPooler/SessionValues.h>
#include <LibPooler/StatementRules.h>
#include <LibSql/Statement.h>

#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/** A transaction's hold on one connection to one database. */
struct OpenTransaction
{
  bool isReadOnly = false;
  /** Null until its first statement has opened it at a database. */
  PooledConnectionHandle connection;
  std::shared_ptr<ConnectionPool> pool;
  bool isOnPrimary = false;
  Session::Term term = 0;
  bool hasWritten = false;
};

/** What a run needs to know of the session that it belongs to. */
struct StatementContext
{
  const Route& route;
  const Values& values;
  const PreparedStatements& prepared;
  std::optional<Session::LogPosition> floor;
  /** Null outside a transaction. */
  OpenTransaction* transaction = nullptr;
};

/** What a statement is, in the session and the transaction that it belongs to.
 */
class StatementProfile
{
public:
  /** Both must outlive the profile. */
  StatementProfile(const Sql::Statement& aStatement,
                   const StatementContext& aContext)
    : statement_(aStatement)
    , context_(aContext)
  {
  }

  bool IsInTransaction() const;
  /** No database knows of the transaction yet. */
  bool IsFirstInTransaction() const;
  bool IsCommit() const;
  /** It changes data, itself or by what was prepared. */
  bool IsWrite() const;
  /** What must be prepared for it; null for a plain statement. */
  const std::string* PreparedText() const;
  RoutingRequirements Requirements() const;
  /** What the rules need to know. */
  StatementFacts Facts(bool aWasSent) const;

private:
  const Sql::Statement& statement_;
  const StatementContext& context_;
};

} // namespace Pooler
