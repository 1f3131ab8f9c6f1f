#pragma once

#include <LibCore/Clock.h>
#include <LibSession/LogPosition.h>
#include <LibSql/Statement.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sql {

/** What is sent to a database over one of our connections. */
enum class CommandKind
{
  /** A client's read, write or commit; its text goes out unchanged. */
  ClientStatement,
  /** A client's prepared statement, under the connection's name for it. */
  ClientExecute,
  Begin,
  BeginReadOnly,
  Rollback,
  Set,
  Prepare,
  /** Clears the connection's values and prepared statements. */
  DiscardAll,
  /** Asks the database how it sees itself. */
  Status,
  /** Makes a primary whose term is lower than `term` a replica. */
  StepDown,
};

inline constexpr Core::EnumNames<CommandKind, 10> kCommandKindNames{ {
  { { CommandKind::ClientStatement, "client_statement" },
    { CommandKind::ClientExecute, "client_execute" },
    { CommandKind::Begin, "begin" },
    { CommandKind::BeginReadOnly, "begin_read_only" },
    { CommandKind::Rollback, "rollback" },
    { CommandKind::Set, "set" },
    { CommandKind::Prepare, "prepare" },
    { CommandKind::DiscardAll, "discard_all" },
    { CommandKind::Status, "status" },
    { CommandKind::StepDown, "step_down" } },
} };

struct DatabaseCommand
{
  CommandKind kind = CommandKind::Status;
  /** The client's request id; empty for commands of our own. */
  std::string requestId{};
  /** ClientStatement: the text. */
  std::string text{};
  /** Set, Prepare, ClientExecute: the name. */
  std::string name{};
  /** Set: the value. Prepare, ClientExecute: what follows the name. */
  std::string argument{};
  /** StepDown only. */
  Session::Term term = 0;
  /**
   * A read or a begin is refused with Lagging unless the database's log holds
   * this position.
   */
  std::optional<Session::LogPosition> atLeast{};
};

/** A database's answer, or the lack of one. */
struct DatabaseReply
{
  /** False when the connection broke before the answer was complete. */
  bool isComplete = false;
  std::vector<std::string> rows;
  /** The database's proof that it ran the statement; "-" for none. */
  std::string signature;
  std::optional<Error> error;
  TransactionState state = TransactionState::Idle;
  /** The end of the database's log; none if it didn't say. */
  std::optional<Session::LogPosition> position;

  bool IsSuccess() const { return isComplete && !error; }
};

using ReplyHandler = std::function<void(DatabaseReply)>;

/** One connection to a database; commands are answered in order. */
class DatabaseLink
{
public:
  virtual ~DatabaseLink() = default;

  /**
   * Sends a command behind those that are still unanswered. aHandler runs
   * once, never from inside Send, unless the link is destroyed before.
   */
  virtual void Send(const DatabaseCommand& aCommand, ReplyHandler aHandler) = 0;
};

/** What a database says of itself in answer to CommandKind::Status. */
struct DatabaseStatus
{
  bool isPrimary = false;
  Session::Term term = 0;
  /** The end of what it has received, applied or not. */
  Session::LogPosition received;
  /** How far what it has applied is behind. */
  Core::Duration lag{ 0 };
  int busySlots = 0;
  int connections = 0;
};

/** A database as the connections to it need to know it. */
struct DatabaseAddress
{
  std::string id;
  std::string group;
  std::string host;
  std::uint16_t port = 0;
};

/** How opening a connection ended. */
struct DialOutcome
{
  /** Null when it failed. */
  std::shared_ptr<DatabaseLink> link;
  /** The end of the database's log when the connection was opened. */
  std::optional<Session::LogPosition> position;
  /** Set when the database answered and refused. */
  std::optional<Error> refusal;
  /** True when the machine said that no process listens there. */
  bool isRefusedByMachine = false;
};

/** Opens connections to databases. */
class DatabaseDialer
{
public:
  virtual ~DatabaseDialer() = default;

  /**
   * Opens a connection; aDone runs once, never from inside Dial. aOnLost runs
   * when an opened connection breaks, also while it is idle, and never again
   * once the link is destroyed.
   */
  virtual void Dial(const DatabaseAddress& aAddress,
                    std::function<void(DialOutcome)> aDone,
                    std::function<void()> aOnLost) = 0;

  /** Reads the row that answers CommandKind::Status. */
  virtual std::optional<DatabaseStatus> ReadStatus(
    const DatabaseReply& aReply) const = 0;
};

} // namespace Sql
