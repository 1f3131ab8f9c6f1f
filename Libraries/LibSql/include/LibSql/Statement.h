#pragma once

#include <LibCore/EnumNames.h>

#include <cstdint>
#include <string>

namespace Sql {

/** The kinds of statement that a client sends. */
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
  /** Prepares a statement under a name. */
  Prepare,
  /** Runs a prepared statement. */
  Execute,
  /** Releases a prepared statement. */
  Deallocate,
  /** A statement that can't be parsed. */
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

/** A decoded client statement. */
struct Statement
{
  StatementKind kind = StatementKind::Invalid;
  /** The client's request id; logged, and forwarded to the database. */
  std::string requestId;
  /** The complete text as received; forwarded to the database unchanged. */
  std::string text;
  /** The name of the session value or prepared statement; otherwise empty. */
  std::string name;
  /**
   * Set: the value. Prepare: the text after the name, verbatim. Execute: the
   * arguments, verbatim. Otherwise empty.
   */
  std::string argument;
  /** Prepare: true when executing it changes data. */
  bool preparesWrite = false;
};

/** The state of the session's transaction, as a reply reports it. */
enum class TransactionState
{
  Idle,
  Open,
  /** A statement failed; the transaction can only be ended. */
  Failed,
};

inline constexpr Core::EnumNames<TransactionState, 3> kTransactionStateNames{ {
  { { TransactionState::Idle, "idle" },
    { TransactionState::Open, "open" },
    { TransactionState::Failed, "failed" } },
} };

/** The reasons why a statement failed. */
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

/** A failure with a human-readable text. */
struct Error
{
  ErrorCode code = ErrorCode::Other;
  std::string text;
};

/** Returns true if the error guarantees that the statement had no effect. */
bool
ImpliesNotExecuted(ErrorCode aCode);

} // namespace Sql
