#pragma once

#include <LibPooler/CommandBatch.h>
#include <LibPooler/GroupRouter.h>
#include <LibPooler/SentStatement.h>
#include <LibPooler/StatementProfile.h>
#include <LibSql/Statement.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/** The outcome of one statement. */
struct StatementResult
{
  std::vector<std::string> rows;
  std::string signature;
  std::optional<Sql::Error> error;
  /**
   * The log position that includes its write, if it wrote. The session's later
   * reads must see this position.
   */
  std::optional<Session::LogPosition> written;
  /** The database that it was sent to. This and what follows is for logging. */
  std::string database;
  /** The member that owns the connection used; empty: this node. */
  std::string owner;
  bool ranAtReplica = false;
  bool wasSent = false;
  int attempts = 0;
  /** The term of the primary that it was routed to; 0 for a replica. */
  Session::Term term = 0;
  /** The log position that the chosen replica was required to hold. */
  std::optional<Session::LogPosition> floor;
  /** Time since the request whose response the authority is based on. */
  std::optional<Core::Duration> authorityAge;
};

/**
 * Runs one statement of a client: chooses a database, acquires a connection,
 * applies the session's state to it, sends the statement, and decides which
 * result the reply, or its absence, allows to be reported to the client.
 * Retries at other databases where that is safe.
 */
class StatementRun
{
public:
  using Handler = std::function<void(StatementResult)>;

  StatementRun(Core::Scheduler& aScheduler,
               GroupRouter& aRouter,
               StatementContext aContext,
               Sql::Statement aStatement,
               Handler aDone);
  ~StatementRun();
  StatementRun(const StatementRun&) = delete;
  StatementRun& operator=(const StatementRun&) = delete;

  /** Starts the run. aDone may run, and destroy it, before this returns. */
  void Start();

  /** Ends the run now, with the same result as a statement timeout. */
  void AbortRunningStatement() { OnTimeout(); }

private:
  enum class Phase
  {
    /** No database is chosen; the run waits to choose again. */
    AwaitingChoice,
    AwaitingConnection,
    /** The session's state is being applied to the connection. */
    Preparing,
    /** The statement has been sent to the database. */
    Sent,
  };

  /**
   * True for a read outside a transaction that must run in one (see
   * RoutingChoice::needsFencedRead). This node opens that transaction as one
   * that may write, so that a database that is no longer primary refuses it,
   * and rolls it back afterwards.
   */
  bool IsFencedRead() const;
  StatementFacts Facts() const { return profile_.Facts(phase_ == Phase::Sent); }
  /** The transaction state after the statement has succeeded. */
  Sql::TransactionState ExpectedState() const;
  /** True if a transaction must be opened before the statement is sent. */
  bool MustBegin() const;

  void Choose();
  /** Waits until an input of the choice has changed, then chooses again. */
  void AwaitChange();
  void Acquire();
  void OnConnection(PooledConnectionHandle aConnection);
  void PrepareConnection();
  std::vector<Sql::DatabaseCommand> PreparationCommands();
  void OnPrepared(const BatchResult& aResult, std::size_t aCount);
  void OnReadyToSend();
  void SendStatement();
  /** True while no other database can have replaced the chosen primary. */
  bool HasAuthority() const;
  /** True while this node's lease still allows the statement to be sent. */
  bool MaySendNow() const;
  /** Schedules a hedge in case the first database is slow to reply. */
  void PlanHedge();
  /** Runs the statement at another database as well. */
  void Hedge();
  /** Leaves the sent statement running; its reply frees the connection. */
  void Detach();
  /** Handles the reply to a statement that Detach has left running. */
  void OnDetachedReply(Sql::DatabaseReply aReply);
  void OnReply(Sql::DatabaseReply aReply);
  void OnConnectionLost();
  void OnSuccess(Sql::DatabaseReply aReply);
  void OnError(const Sql::DatabaseReply& aReply);
  /** Handles a reply of a database that already follows another primary. */
  void OnFormerPrimary();
  void OnErrorInTransaction(const Sql::DatabaseReply& aReply);
  void RecordReply(const Sql::DatabaseReply& aReply);
  /**
   * Returns the connection and chooses again after aDelay, without the current
   * database if aExclude.
   */
  void ChooseAgain(bool aExclude, Core::Duration aDelay);
  void OnTimeout();
  /** Fails a statement that hasn't been sent in time to run it. */
  void OnWaitLimitReached();
  /** Ends the run's, and the transaction's, use of the connection. */
  PooledConnectionHandle TakeConnection();
  /** Returns the connection, if there is one, to the pool. */
  void ReleaseConnection();
  /** Closes the connection rather than returning it to the pool for reuse. */
  void DropConnection();
  void Fail(Sql::ErrorCode aCode, std::string aText);
  /** Copies the facts behind the routing into the result, for logging. */
  void RecordRoutingInputs();
  void Finish();
  template<typename Function>
  auto Guard(Function aFunction);

  Core::Scheduler& scheduler_;
  GroupRouter& router_;
  StatementContext context_;
  Sql::Statement statement_;
  StatementProfile profile_;
  Handler done_;
  StatementResult result_;
  Phase phase_ = Phase::AwaitingChoice;
  Core::Instant startedAt_;
  Core::Instant sentAt_{};
  RoutingRequirements requirements_;
  RoutingChoice choice_;
  PooledConnectionHandle connection_;
  std::shared_ptr<SentStatement> sent_;
  std::shared_ptr<void> preparation_;
  std::uint64_t poolTicket_ = 0;
  std::uint64_t changeTicket_ = 0;
  Core::TimerHandle timeout_;
  Core::TimerHandle waitLimit_;
  Core::TimerHandle retry_;
  Core::TimerHandle hedge_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
