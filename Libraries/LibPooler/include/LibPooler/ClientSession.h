#pragma once

#include <LibCore/Scheduler.h>
#include <LibPooler/Access.h>
#include <LibPooler/StatementRun.h>
#include <LibQuota/QuotaShares.h>
#include <LibSql/Statement.h>

#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/** The connection to one client, through which a session replies. */
class ClientPort
{
public:
  virtual ~ClientPort() = default;
  virtual void SendSuccess(const std::vector<std::string>& aRows,
                           std::string_view aSignature,
                           Sql::TransactionState aState) = 0;
  virtual void SendError(const Sql::Error& aError,
                         Sql::TransactionState aState) = 0;
  /**
   * Closes the connection once all replies are written. The session is
   * destroyed later, not inside this call.
   */
  virtual void CloseSession() = 0;
  /**
   * True while the client has not read its earlier replies. No further
   * statement starts until ClientSession::Continue.
   */
  virtual bool IsBacklogged() const { return false; }
};

/** One finished statement, as reported to the log and the metrics. */
struct StatementReport
{
  const Sql::Statement& statement;
  /** The route that the statement ran under. */
  const Route* route = nullptr;
  const StatementResult& result;
  bool isInTransaction = false;
  /** From the start of the statement to its result; queueing is left out. */
  Core::Duration latency{ 0 };
};

/** What a node provides to the client sessions that it hosts. */
class SessionHost
{
public:
  virtual ~SessionHost() = default;
  /** The currently configured route of a database name; null if none. */
  virtual const Route* FindRoute(std::string_view aDatabase) const = 0;
  /** What a client with this key may do on a route, at this moment. */
  virtual Access CheckAccess(const Route& aRoute,
                             std::string_view aKey) const = 0;
  /** Charges an operation to the customer's quota, if it has one. */
  virtual Quota::Decision Admit(const std::string& aCustomer) = 0;
  /** Waits for the decision on an operation that Admit left pending. */
  [[nodiscard]] virtual Quota::QuotaShares::WaitHandle AwaitAdmission(
    const std::string& aCustomer,
    Core::Duration aLimit,
    std::function<void(bool)> aDone) = 0;
  /** The router of a group; null if the group isn't configured. */
  virtual GroupRouter* FindRouter(const std::string& aGroup) = 0;
  /** How long an open transaction may be idle; zero: without limit. */
  virtual Core::Duration TransactionIdleTimeout() const = 0;
  /**
   * False once the node's shutdown has progressed so far that new work would
   * be cut off.
   */
  virtual bool AcceptsWork() const = 0;
  virtual void Report(const StatementReport& aReport) = 0;
};

/**
 * One client's session: its session values, prepared statements, open
 * transaction and queued statements. Statements run one at a time, in order.
 * Statements that need no database (such as setting a session value) are
 * handled locally. A transaction is opened at a database only when its first
 * statement runs.
 */
class ClientSession
{
public:
  ClientSession(Core::Scheduler& aScheduler,
                SessionHost& aHost,
                ClientPort& aPort,
                std::string aDatabase,
                std::string aKey = {});
  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  /** Queues aStatement; it runs after the statements received before it. */
  void OnStatement(Sql::Statement aStatement);

  /** Starts the next statement, once the client has read its replies. */
  void Continue();

  /** Forgets the statements that have not started. */
  void DropQueued();

  /**
   * Bounds the bytes of the session's values and prepared statements; the
   * statement that exceeds it is refused. Without a call: no bound.
   */
  void SetMaxStateBytes(std::size_t aBytes) { maxStateBytes_ = aBytes; }

  /** The statements without a reply, and the bytes that the session holds. */
  std::size_t PendingStatements() const { return queue_.size(); }
  std::size_t HeldBytes() const;

  /**
   * True when no transaction is open or failed and no statement awaits a reply,
   * so that the session may be closed.
   */
  bool IsIdle() const;
  bool IsInTransaction() const { return transaction_.has_value(); }
  /**
   * Rolls back an open transaction that has no statement running. Called on
   * idle timeout and on shutdown. The client's next statement reports it.
   */
  void EndIdleTransaction();
  /**
   * Ends the running statement at once and reports to the client what is known
   * of its outcome. Called on shutdown.
   */
  void AbortRunningStatement();

private:
  void RunNext();
  void HandleSet();
  void HandleDeallocate();
  /** Refuses the statement if its session state would exceed the bound. */
  bool ExceedsState(std::size_t aReplacedBytes);
  void Handle();
  void HandleLocally(Sql::TransactionState aState);
  void HandleInFailedTransaction();
  void HandleBegin();
  void HandleRollback();
  void HandlePrepare();
  void RunAtDatabase();
  /** Ends the statement, and its transaction, if the key doesn't allow it. */
  bool IsRefused();
  /**
   * True if the statement may be sent as far as the customer's quota goes.
   * Otherwise it is refused, or runs once the quota allows.
   */
  bool IsWithinQuota();
  void OnAdmission(bool aIsAdmitted);
  void StartRun();
  void OnResult(StatementResult aResult);
  void ReplySuccess(const std::vector<std::string>& aRows,
                    std::string_view aSignature);
  void ReplyError(const Sql::Error& aError);
  void NextStatement();
  void ReleaseTransaction();
  void StartIdleTimer();
  Sql::TransactionState State() const;

  Core::Scheduler& scheduler_;
  SessionHost& host_;
  ClientPort& port_;
  std::string database_;
  /** The client's key, a secret. */
  std::string key_;
  /** The customer for which the running statement runs. */
  std::string customer_;
  Values values_;
  PreparedStatements prepared_;
  /** The highest log position of the session's acknowledged writes. */
  std::optional<Session::LogPosition> floor_;
  std::deque<Sql::Statement> queue_;
  std::size_t queuedBytes_ = 0;
  /** The bytes of values_ and prepared_. */
  std::size_t stateBytes_ = 0;
  std::size_t maxStateBytes_ = std::numeric_limits<std::size_t>::max();
  bool isRunning_ = false;
  Core::Instant startedAt_{};
  /** A copy from when the transaction, or the single statement, began. */
  Route route_;
  std::optional<OpenTransaction> transaction_;
  /** The transaction, or the single statement, is charged to the quota. */
  bool isCharged_ = false;
  Quota::QuotaShares::WaitHandle admission_;
  /** The transaction has failed; only commit or rollback is accepted. */
  bool hasFailed_ = false;
  /** The idle transaction was rolled back and the client doesn't know yet. */
  bool wasRolledBackWhileIdle_ = false;
  Core::TimerHandle idleTimer_;
  std::unique_ptr<StatementRun> run_;
};

} // namespace Pooler
