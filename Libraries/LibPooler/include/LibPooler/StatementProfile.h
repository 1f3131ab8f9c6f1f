#pragma once

#include <LibPooler/GroupRouter.h>
#include <LibPooler/SessionValues.h>
#include <LibPooler/StatementRules.h>
#include <LibSql/Statement.h>

#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/** An open transaction and the connection that it is bound to. */
struct OpenTransaction
{
  bool isReadOnly = false;
  /** Null until the first statement has opened it at a database. */
  PooledConnectionHandle connection;
  std::shared_ptr<ConnectionPool> pool;
  bool isOnPrimary = false;
  /** The primary's term when it was opened. */
  Session::Term term = 0;
  /** A write has been sent in it. */
  bool hasWritten = false;
};

/** The parts of a client session that running a statement depends on. */
struct StatementContext
{
  const Route& route;
  const Values& values;
  const PreparedStatements& prepared;
  /** The log position that the session's reads must see. */
  std::optional<Session::LogPosition> floor;
  /** Null outside a transaction. */
  OpenTransaction* transaction = nullptr;
  /** The customer whom databases are told; empty if there is none. */
  std::string customer{};
};

/** Classifies a statement in the context of its session and transaction. */
class StatementProfile
{
public:
  /** Both arguments must outlive the profile. */
  StatementProfile(const Sql::Statement& aStatement,
                   const StatementContext& aContext)
    : statement_(aStatement)
    , context_(aContext)
  {
  }

  bool IsInTransaction() const;
  /** True if its transaction hasn't been opened at a database yet. */
  bool IsFirstInTransaction() const;
  bool IsCommit() const;
  /** True for a write and for the execution of a prepared write. */
  bool IsWrite() const;
  /** The prepared text that it executes; null for a plain statement. */
  const std::string* PreparedText() const;
  /** Names the statements that take a similar time, as far as is known. */
  std::string WorkKind() const;
  RoutingRequirements Requirements() const;
  /** The input of the rules in StatementRules.h. */
  StatementFacts Facts(bool aWasSent) const;

private:
  const Sql::Statement& statement_;
  const StatementContext& context_;
};

} // namespace Pooler
