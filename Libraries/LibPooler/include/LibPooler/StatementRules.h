#pragma once

#include <LibCore/EnumNames.h>
#include <LibSql/Statement.h>

#include <optional>

/**
 * Rules for the error to report to a client, given what is known of its
 * statement. An error that implies that the statement had no effect (rolled
 * back, busy, ...) is reported only when none of its changes can persist. A
 * statement that may have written data is never sent twice.
 */
namespace Pooler {

/** The facts about a statement and its transaction that the rules use. */
struct StatementFacts
{
  bool isInTransaction = false;
  bool isCommit = false;
  bool isWrite = false;
  /** A write of its transaction has been sent to the database. */
  bool hasTransactionWritten = false;
  /** It has been sent to the database, which may have received it. */
  bool wasSent = false;
};

/**
 * True if the statement, once sent, may have changed stored data: a single
 * write, or the commit of a transaction that has written.
 */
bool
MayChangeData(const StatementFacts& aFacts);

/**
 * Returns the error to report when the connection to the database is lost; none
 * if the statement may be run at another database.
 */
std::optional<Sql::ErrorCode>
ErrorOnLostConnection(const StatementFacts& aFacts);

/** Returns the error to report when the statement times out. */
Sql::ErrorCode
ErrorOnTimeout(const StatementFacts& aFacts);

/**
 * Returns the error to report when a database replies to a statement of an open
 * transaction with the error aCode. The transaction is rolled back.
 */
Sql::ErrorCode
ErrorOnFailedTransaction(const StatementFacts& aFacts, Sql::ErrorCode aCode);

/**
 * What to do when a database replies with an error to a single statement or to
 * the first statement of a transaction.
 */
enum class Reaction
{
  /** Report the database's error to the client. */
  Report,
  /** Retry at another database. */
  TryAnotherDatabase,
  /** Retry after a short delay. */
  RetryLater,
  /** Retry after a longer delay; the group may be changing its primary. */
  AwaitPrimary,
};

inline constexpr Core::EnumNames<Reaction, 4> kReactionNames{ {
  { { Reaction::Report, "report" },
    { Reaction::TryAnotherDatabase, "go_elsewhere" },
    { Reaction::RetryLater, "wait" },
    { Reaction::AwaitPrimary, "await_primary" } },
} };

Reaction
ReactionTo(Sql::ErrorCode aCode, const StatementFacts& aFacts);

} // namespace Pooler
