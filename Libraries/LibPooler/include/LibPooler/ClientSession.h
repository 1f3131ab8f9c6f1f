#pragma once

#include <LibCore/Scheduler.h>
#include <LibPooler/StatementRun.h>
#include <LibSql/Statement.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/** The way back to one client. */
class ClientPort
{
public:
  virtual ~ClientPort() = default;
  virtual void SendSuccess(const std::vector<std::string>& aRows,
                           std::string_view aSignature,
                           Sql::TransactionState aState) = 0;
  virtual void SendError(const Sql::Error& aError,
                         Sql::TransactionState aState) = 0;
  /** Closes the connection once all is written; destroys the session later. */
  virtual void CloseSession() = 0;
};

/** One finished statement, for the log and the counters. */
struct StatementReport
{
  const Sql::Statement& statement;
  const Route* route = nullptr;
  const StatementResult& result;
  bool isInTransaction = false;
  Core::Duration latency{ 0 };
};

/** What sessions need from the node that they live on. */
class SessionHost
{
public:
  virtual ~SessionHost() = default;
  /** The route of a database name as configured now; null if there is none. */
  virtual const Route* FindRoute(std::string_view aDatabase) const = 0;
  /** Null if the group isn't configured. */
  virtual GroupRouter* FindRouter(const std::string& aGroup) = 0;
  /** Zero: transactions may rest for ever. */
  virtual Core::Duration TransactionIdleTimeout() const = 0;
  /** False when a stop has gone so far that new work would be cut off. */
  virtual bool AcceptsWork() const = 0;
  virtual void Report(const StatementReport& aReport) = 0;
};

/**
 * One client's session: its values and prepared statements, its transaction,
 * and the statements that it has sent. Answers locally what needs no database,
 * and opens a transaction at a database only with its first statement.
 */
class ClientSession
{
public:
  ClientSession(Core::Scheduler& aScheduler,
                SessionHost& aHost,
                ClientPort& aPort,
                std::string aDatabase);
  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  /** Runs aStatement after those that came before it. */
  void OnStatement(Sql::Statement aStatement);

  /** True when nothing is open or unanswered, so that it may be closed. */
  bool IsIdle() const;
  bool IsInTransaction() const { return transaction_.has_value(); }
  /** Rolls the transaction back, if one rests open; for a stop. */
  void EndRestingTransaction();
  /** Answers what is still running with what is known of it; for a stop. */
  void GiveUp();

private:
  void RunNext();
  void Handle();
  void HandleLocally(Sql::TransactionState aState);
  void HandleInFailedTransaction();
  void HandleBegin();
  void HandleRollback();
  void HandlePrepare();
  void RunAtDatabase();
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
  Values values_;
  PreparedStatements prepared_;
  /** What the session's own acknowledged writes need of a log. */
  std::optional<Session::LogPosition> floor_;
  std::deque<Sql::Statement> queue_;
  bool isRunning_ = false;
  Core::Instant startedAt_{};
  /** As it was when the transaction, or the single statement, began. */
  Route route_;
  std::optional<OpenTransaction> transaction_;
  /** The transaction failed; only its end is accepted. */
  bool hasFailed_ = false;
  /** The transaction ended without the client being told yet. */
  bool wasEndedByTimeout_ = false;
  Core::TimerHandle idleTimer_;
  std::unique_ptr<StatementRun> run_;
};

} // namespace Pooler
