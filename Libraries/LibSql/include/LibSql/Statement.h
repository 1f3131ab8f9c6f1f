#pragma once

#include <LibCore/EnumNames.h>

#include <cstdint>
#include <string>

namespace Sql {

/** What a client asks for with one statement. */
enum class StatementKind
{
  /** Opens a transaction that may write. */
  Begin,
  /** Opens a transaction that only reads. */
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  /** Sets a session value. */
  Set,
  /** Names a statement for later use. */
  Prepare,
  /** Runs a prepared statement. */
  Execute,
  /** Forgets a prepared statement. */
  Deallocate,
  /** A text that can't be understood. */
  Invalid,
};

inline constexpr Core::EnumNames<StatementKind, 11> kStatementKindNames{ {
  { { StatementKind::Begin, "begin" },
    { StatementKind::BeginReadOnly, "begin_read_only" },
    { StatementKind::Commit, "commit" },
    { StatementKind::Rollback, "rollback" },
    { StatementKind::Read, "read" },
    { StatementKind::Write, "write" },
    { StatementKind::Set, "set" },
    { StatementKind::Prepare, "prepare" },
    { StatementKind::Execute, "execute" },
    { StatementKind::Deallocate, "deallocate" },
    { StatementKind::Invalid, "invalid" } },
} };

/** One statement of a client, decoded. */
struct Statement
{
  StatementKind kind = StatementKind::Invalid;
  /** The client's id of the request; it appears in logs and at databases. */
  std::string requestId;
  /** The whole text as sent; it reaches the database unchanged. */
  std::string text;
  /** The session value's or prepared statement's name; else empty. */
  std::string name;
  /**
   * Set: the value. Prepare: what follows the name, verbatim. Execute: the
   * arguments, verbatim. Else empty.
   */
  std::string argument;
  /** Prepare: true when executing it changes data. */
  bool preparesWrite = false;
};

/** What an answer says of the session's transaction. */
enum class TransactionState
{
  Idle,
  Open,
  /** It failed, and only ending it is possible. */
  Failed,
};

inline constexpr Core::EnumNames<TransactionState, 3> kTransactionStateNames{ {
  { { TransactionState::Idle, "idle" },
    { TransactionState::Open, "open" },
    { TransactionState::Failed, "failed" } },
} };

/** Why a statement failed. */
enum class ErrorCode
{
  Busy,
  RolledBack,
  Lagging,
  ReadOnly,
  WrongNode,
  ConnectionLimit,
  InDoubt,
  Timeout,
  Failed,
  NoStatement,
  NoDatabase,
  TooLarge,
  Malformed,
  Unauthorized,
  /** A code that this version doesn't know. */
  Other,
};

inline constexpr Core::EnumNames<ErrorCode, 15> kErrorCodeNames{ {
  { { ErrorCode::Busy, "busy" },
    { ErrorCode::RolledBack, "rolled_back" },
    { ErrorCode::Lagging, "lagging" },
    { ErrorCode::ReadOnly, "read_only" },
    { ErrorCode::WrongNode, "wrong_node" },
    { ErrorCode::ConnectionLimit, "connection_limit" },
    { ErrorCode::InDoubt, "in_doubt" },
    { ErrorCode::Timeout, "timeout" },
    { ErrorCode::Failed, "failed" },
    { ErrorCode::NoStatement, "no_statement" },
    { ErrorCode::NoDatabase, "no_database" },
    { ErrorCode::TooLarge, "too_large" },
    { ErrorCode::Malformed, "malformed" },
    { ErrorCode::Unauthorized, "unauthorized" },
    { ErrorCode::Other, "other" } },
} };

/** A failure, with a text for people. */
struct Error
{
  ErrorCode code = ErrorCode::Other;
  std::string text;
};

/** True when the code says that the statement had no effect at the database. */
bool
SaysNotRun(ErrorCode aCode);

} // namespace Sql
