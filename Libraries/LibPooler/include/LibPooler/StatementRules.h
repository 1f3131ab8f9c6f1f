#pragma once

#include <LibCore/EnumNames.h>
#include <LibSql/Statement.h>

#include <optional>

/**
 * What a client may be told of a statement, by what is known of it. A promise
 * (rolled back, busy, ...) is given only when nothing can be kept; anything
 * that may have written is never sent twice.
 */
namespace Pooler {

/** What matters of a statement and its transaction. */
struct StatementFacts
{
  bool isInTransaction = false;
  bool isCommit = false;
  bool isWrite = false;
  /** A write of its transaction has been sent. */
  bool hasTransactionWritten = false;
  /** The database has the statement, as far as is known. */
  bool wasSent = false;
};

/** True when the statement, once sent, may have changed what is kept. */
bool
MayChangeData(const StatementFacts& aFacts);

/**
 * What to say when the connection to the database is lost; none if the
 * statement may be run elsewhere.
 */
std::optional<Sql::ErrorCode>
VerdictOnLostConnection(const StatementFacts& aFacts);

/** What to say when the statement's time is over. */
Sql::ErrorCode
VerdictOnTimeOver(const StatementFacts& aFacts);

/**
 * What to say when a database refuses a statement of an open transaction,
 * which is rolled back.
 */
Sql::ErrorCode
VerdictOnErrorInTransaction(const StatementFacts& aFacts, Sql::ErrorCode aCode);

/** What to do when a database refuses a statement that stands alone, or the
 * first of a transaction. */
enum class Reaction
{
  /** The client gets the database's error. */
  Report,
  /** Another database may do better. */
  GoElsewhere,
  /** The same database may do better a moment later. */
  Wait,
  /** The group may have another primary. */
  AwaitPrimary,
};

inline constexpr Core::EnumNames<Reaction, 4> kReactionNames{ {
  { { Reaction::Report, "report" },
    { Reaction::GoElsewhere, "go_elsewhere" },
    { Reaction::Wait, "wait" },
    { Reaction::AwaitPrimary, "await_primary" } },
} };

Reaction
ReactionTo(Sql::ErrorCode aCode, const StatementFacts& aFacts);

} // namespace Pooler
