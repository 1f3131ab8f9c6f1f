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

/** The kinds of command that a node sends to a database. */
enum class CommandKind
{
  /** A client's read, write or commit; its text is forwarded unchanged. */
  ClientStatement,
  /** Runs a client's prepared statement by its name on this connection. */
  ClientExecute,
  Begin,
  BeginReadOnly,
  Rollback,
  Set,
  Prepare,
  /** Clears the connection's session values and prepared statements. */
  DiscardAll,
  /** Requests the database's role, term, log position and load. */
  Status,
  /** Demotes a primary whose term is lower than `term` to a replica. */
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
  /** The client's request id; empty for the node's own commands. */
  std::string requestId{};
  /** ClientStatement: the statement's text. */
  std::string text{};
  /**
   * Set: the name of the session value. Prepare, ClientExecute: the name of the
   * prepared statement.
   */
  std::string name{};
  /** Set: the value. Prepare, ClientExecute: the text after the name. */
  std::string argument{};
  /** StepDown: primaries with a lower term step down. */
  Session::Term term = 0;
  /**
   * The database rejects a read or a begin with Lagging unless its log holds
   * this position.
   */
  std::optional<Session::LogPosition> minimumPosition{};
};

/** A database's reply to a command, complete or cut off. */
struct DatabaseReply
{
  /** False when the connection broke before the reply was complete. */
  bool isComplete = false;
  std::vector<std::string> rows;
  /** The database's proof that it ran the statement; "-" for none. */
  std::string signature;
  std::optional<Error> error;
  TransactionState state = TransactionState::Idle;
  /** The end of the database's log; none if the reply didn't report it. */
  std::optional<Session::LogPosition> position;

  bool IsSuccess() const { return isComplete && !error; }
};

using ReplyHandler = std::function<void(DatabaseReply)>;

/** One connection to a database; replies arrive in the order of commands. */
class DatabaseLink
{
public:
  virtual ~DatabaseLink() = default;

  /**
   * Sends a command, queued behind those without a reply yet. aHandler runs
   * exactly once, and never from inside Send. It doesn't run if the link is
   * destroyed first.
   */
  virtual void Send(const DatabaseCommand& aCommand, ReplyHandler aHandler) = 0;
};

/** A database's status, from its reply to CommandKind::Status. */
struct DatabaseStatus
{
  bool isPrimary = false;
  Session::Term term = 0;
  /** The end of the received log, whether applied or not. */
  Session::LogPosition received;
  /** How far the applied data is behind the primary. */
  Core::Duration lag{ 0 };
  int busySlots = 0;
  int connections = 0;
};

/** The identity and network address of a database. */
struct DatabaseAddress
{
  std::string id;
  std::string group;
  std::string host;
  std::uint16_t port = 0;
  /** On whose behalf the connection is used; empty: the system's own. */
  std::string customer{};
};

/** The result of opening a connection. */
struct DialOutcome
{
  /** Null on failure. */
  std::shared_ptr<DatabaseLink> link;
  /** The end of the database's log when the connection opened. */
  std::optional<Session::LogPosition> position;
  /** Set when the database itself rejected the connection. */
  std::optional<Error> refusal;
  /**
   * True when the connection was refused, normally because no process listens
   * on the port.
   */
  bool isConnectionRefused = false;
};

/** Opens connections to databases. */
class DatabaseDialer
{
public:
  virtual ~DatabaseDialer() = default;

  /**
   * Opens a connection. aDone runs exactly once, and never from inside Dial.
   * aOnLost runs when an opened connection breaks, even while it is idle. It
   * never runs after the link is destroyed.
   */
  virtual void Dial(const DatabaseAddress& aAddress,
                    std::function<void(DialOutcome)> aDone,
                    std::function<void()> aOnLost) = 0;

  /**
   * Parses the reply to CommandKind::Status. Returns none if the command failed
   * or the reply is malformed.
   */
  virtual std::optional<DatabaseStatus> ReadStatus(
    const DatabaseReply& aReply) const = 0;
};

} // namespace Sql
