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

/** What a statement came to. */
struct StatementResult
{
  std::vector<std::string> rows;
  std::string signature;
  std::optional<Sql::Error> error;
  /** The position that the session's later reads must see, if it wrote. */
  std::optional<Session::LogPosition> written;
  /** How it was run, for the log and the counters. */
  std::string database;
  /** The member whose connection it used; empty: this node's own. */
  std::string owner;
  bool ranAtReplica = false;
  bool wasSent = false;
  int attempts = 0;
  /** What it was decided by: the term of the primary, if that was asked. */
  Session::Term term = 0;
  /** The position that the database's log had to hold. */
  std::optional<Session::LogPosition> floor;
  /** How old the answer was that the authority rests on. */
  std::optional<Core::Duration> authorityAge;
};

/**
 * Brings one statement of a client to one database and back: chooses the
 * database, gets a connection, brings it into the session's state, sends the
 * statement, and decides what the answer, or its lack, lets the client be told.
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

  /** aDone may run, and destroy the run, before this returns. */
  void Start();

  /** Ends the run now as if its time were over. */
  void GiveUp() { OnTimeout(); }

private:
  enum class Phase
  {
    /** No database may be used; something must change first. */
    AwaitingChoice,
    AwaitingConnection,
    /** The connection is brought into the session's state. */
    Preparing,
    /** The database has the statement. */
    Sent,
  };

  /** A single read runs in a transaction of our own, to be rolled back. */
  bool IsFencedRead() const;
  StatementFacts Facts() const { return profile_.Facts(phase_ == Phase::Sent); }
  /** The connection must open a transaction before the statement. */
  bool MustBegin() const;

  void Choose();
  void AwaitChange();
  void Acquire();
  void OnConnection(PooledConnectionHandle aConnection);
  void PrepareConnection();
  std::vector<Sql::DatabaseCommand> PreparationCommands();
  void OnPrepared(const BatchResult& aResult, std::size_t aCount);
  void OnReadyToSend();
  void SendStatement();
  /** Nobody else can have been promoted in the chosen primary's place. */
  bool HasAuthority() const;
  bool MaySendNow() const;
  /** Asks another database as well if the first one doesn't answer. */
  void PlanHedge();
  void Hedge();
  void Detach();
  void OnDetachedReply(Sql::DatabaseReply aReply);
  void OnReply(Sql::DatabaseReply aReply);
  void OnLost();
  void OnSuccess(Sql::DatabaseReply aReply);
  void OnError(const Sql::DatabaseReply& aReply);
  void OnFormerPrimary();
  void OnErrorInTransaction(const Sql::DatabaseReply& aReply);
  void RollBack();
  void RecordAnswer(const Sql::DatabaseReply& aReply);
  void TryElsewhere(bool aExclude, Core::Duration aDelay);
  void OnTimeout();
  void OnWaitedTooLong();
  void DropConnection();
  void ReturnConnection(bool aIsClean);
  void Fail(Sql::ErrorCode aCode, std::string aText);
  void NoteInputs();
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
