#include <LibPooler/StatementRun.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** A statement is tried at this many places, unless its time ends before. */
constexpr int kMaxAttempts = 6;

/** How long a full database is left alone. */
constexpr Core::Duration kBusyDelay = std::chrono::milliseconds(15);

/** How long a statement waits after its primary said that it is none. */
constexpr Core::Duration kReadOnlyDelay = std::chrono::milliseconds(30);

/**
 * Another database is asked when an answer takes this many times as long as
 * usual, and not before the least delay: ordinary work varies by less.
 */
constexpr int kHedgeFactor = 4;
constexpr Core::Duration kLeastHedgeDelay = std::chrono::milliseconds(250);

/**
 * The share of the statement's time that may go by before it reaches a
 * database; what is left is needed to run it.
 */
constexpr double kWaitShare = 0.75;

} // namespace

/** Wraps a callback so that it does nothing once the run is gone. */
template<typename Function>
auto
StatementRun::Guard(Function aFunction)
{
  return [alive = alive_, function = std::move(aFunction)](auto&&... aArgs) {
    if (*alive)
      function(std::forward<decltype(aArgs)>(aArgs)...);
  };
}

StatementRun::StatementRun(Core::Scheduler& aScheduler,
                           GroupRouter& aRouter,
                           StatementContext aContext,
                           Sql::Statement aStatement,
                           Handler aDone)
  : scheduler_(aScheduler)
  , router_(aRouter)
  , context_(aContext)
  , statement_(std::move(aStatement))
  , done_(std::move(aDone))
  , startedAt_(aScheduler.Now())
{
}

StatementRun::~StatementRun()
{
  *alive_ = false;
  if (done_ == nullptr)
    return;
  router_.CancelWait(changeTicket_);
  if (choice_.pool != nullptr)
    choice_.pool->Cancel(poolTicket_);
  // Whoever drops the run before its end doesn't want the answer; the
  // connection can't be used by anybody else.
  DropConnection();
}

bool
StatementRun::IsInTransaction() const
{
  return context_.transaction != nullptr;
}

bool
StatementRun::IsFirstInTransaction() const
{
  return IsInTransaction() && context_.transaction->connection == nullptr;
}

bool
StatementRun::IsFencedRead() const
{
  return !IsInTransaction() && choice_.isPrimary && choice_.needsFencedRead &&
         !IsWrite();
}

bool
StatementRun::MustBegin() const
{
  return IsFirstInTransaction() || IsFencedRead();
}

bool
StatementRun::IsCommit() const
{
  return statement_.kind == Sql::StatementKind::Commit;
}

bool
StatementRun::IsWrite() const
{
  if (statement_.kind != Sql::StatementKind::Execute)
    return statement_.kind == Sql::StatementKind::Write;
  const auto prepared = context_.prepared.find(statement_.name);
  return prepared != context_.prepared.end() && prepared->second.isWrite;
}

StatementFacts
StatementRun::Facts() const
{
  StatementFacts facts;
  // Before its first statement a transaction exists at no database.
  facts.isInTransaction = IsInTransaction() && !IsFirstInTransaction();
  facts.isCommit = IsCommit();
  facts.isWrite = IsWrite();
  facts.hasTransactionWritten =
    IsInTransaction() && context_.transaction->hasWritten;
  facts.wasSent = phase_ == Phase::Sent;
  return facts;
}

const std::string*
StatementRun::Shape() const
{
  if (statement_.kind != Sql::StatementKind::Execute)
    return nullptr;
  return &context_.prepared.at(statement_.name).shape;
}

RoutingNeed
StatementRun::Need() const
{
  RoutingNeed need;
  const bool onlyReads =
    IsInTransaction() ? context_.transaction->isReadOnly : !IsWrite();
  need.needsPrimary =
    !onlyReads || context_.route.consistency == Consistency::Strong;
  need.maxStaleness = context_.route.maxStaleness;
  if (context_.route.consistency == Consistency::ReadYourWrites)
    need.sessionFloor = context_.floor;
  return need;
}

void
StatementRun::Start()
{
  need_ = Need();
  const Core::Duration limit = context_.route.statementTimeout;
  timeout_ = scheduler_.After(limit, [this] { OnTimeout(); });
  if (IsInTransaction() && !IsFirstInTransaction()) {
    const OpenTransaction& transaction = *context_.transaction;
    choice_.pool = transaction.pool;
    choice_.isPrimary = transaction.isOnPrimary;
    choice_.term = transaction.term;
    choice_.needsFencedRead = true;
    OnConnection(transaction.connection);
    return;
  }
  const auto share = Core::Duration(
    static_cast<long long>(static_cast<double>(limit.count()) * kWaitShare));
  waitLimit_ = scheduler_.After(share, [this] { OnWaitedTooLong(); });
  Choose();
}

void
StatementRun::Choose()
{
  const auto choice = router_.Choose(need_);
  if (!choice && !need_.excluded.empty()) {
    // All have turned it away; they are asked again a little later.
    need_.excluded.clear();
    retry_ = scheduler_.After(kBusyDelay, [this] { Choose(); });
    return;
  }
  if (!choice) {
    AwaitChange();
    return;
  }
  choice_ = *choice;
  Acquire();
}

void
StatementRun::AwaitChange()
{
  phase_ = Phase::AwaitingChoice;
  changeTicket_ = router_.WaitForChange(Guard([this] { Choose(); }));
}

void
StatementRun::Acquire()
{
  phase_ = Phase::AwaitingConnection;
  ++result_.attempts;
  const auto alive = alive_;
  const std::uint64_t ticket = choice_.pool->Acquire(
    { startedAt_ + context_.route.targetLatency,
      context_.values,
      Shape() != nullptr ? std::optional(*Shape()) : std::nullopt,
      need_.needsPrimary },
    Guard([this](PooledConnectionHandle aConnection, PoolRefusal) {
      poolTicket_ = 0;
      if (aConnection == nullptr) {
        TryElsewhere(true, kBusyDelay);
        return;
      }
      OnConnection(std::move(aConnection));
    }));
  if (*alive && phase_ == Phase::AwaitingConnection)
    poolTicket_ = ticket;
}

void
StatementRun::OnConnection(PooledConnectionHandle aConnection)
{
  connection_ = std::move(aConnection);
  PrepareConnection();
}

std::vector<Sql::DatabaseCommand>
StatementRun::PreparationCommands()
{
  const bool isPinned = IsInTransaction() && !IsFirstInTransaction();
  const bool mustProve =
    !isPinned && need_.needsPrimary && connection_->IsRested(scheduler_.Now());
  auto commands = mustProve
                    ? connection_->state.PrepareAnew(context_.values, Shape())
                    : connection_->state.Prepare(context_.values, Shape());
  if (!MustBegin())
    return commands;
  // At a primary even a transaction that only reads is opened for writing,
  // so that the database ends it when it steps down.
  commands.push_back({ .kind = choice_.isPrimary
                                 ? Sql::CommandKind::Begin
                                 : Sql::CommandKind::BeginReadOnly });
  commands.back().atLeast = choice_.floor;
  return commands;
}

void
StatementRun::PrepareConnection()
{
  phase_ = Phase::Preparing;
  const auto commands = PreparationCommands();
  if (commands.empty()) {
    SendStatement();
    return;
  }
  preparation_ =
    SendBatch(scheduler_,
              *connection_->link,
              commands,
              kPreparationTimeout,
              [this, count = commands.size()](const BatchResult& aResult) {
                OnPrepared(aResult, count);
              });
}

void
StatementRun::OnPrepared(const BatchResult& aResult, std::size_t aCount)
{
  preparation_.reset();
  if (!aResult.isSilent && aResult.failed == aCount) {
    OnReadyToSend();
    return;
  }
  const bool isLost = !aResult.isSilent && !aResult.reply.isComplete;
  const bool hasBeginFailed =
    !isLost && !aResult.isSilent && MustBegin() && aResult.failed + 1 == aCount;
  if (hasBeginFailed) {
    OnError(aResult.reply);
    return;
  }
  // Silent, or the connection's state is unknown now.
  if (!isLost)
    choice_.pool->RecordFailure();
  OnLost();
}

void
StatementRun::OnReadyToSend()
{
  if (IsFirstInTransaction()) {
    OpenTransaction& transaction = *context_.transaction;
    transaction.connection = connection_;
    transaction.pool = choice_.pool;
    transaction.isOnPrimary = choice_.isPrimary;
    transaction.term = choice_.term;
  }
  SendStatement();
}

bool
StatementRun::HasAuthority() const
{
  return router_.Authority().HoldsFor(
    choice_.pool->Info().id, choice_.term, scheduler_.Now());
}

bool
StatementRun::MaySendNow() const
{
  if (!choice_.isPrimary)
    return true;
  // The lease for plain reads is short and may have ended during the wait.
  const bool isPlainRead =
    !IsInTransaction() && !IsWrite() && !choice_.needsFencedRead;
  if (isPlainRead && !router_.Authority().HoldsForPlainReads(scheduler_.Now()))
    return false;
  return HasAuthority();
}

void
StatementRun::SendStatement()
{
  if (!MaySendNow()) {
    if (IsInTransaction())
      Fail(Sql::ErrorCode::RolledBack, "the primary is being replaced");
    else
      TryElsewhere(false, Core::Duration::zero());
    return;
  }
  phase_ = Phase::Sent;
  waitLimit_.reset();
  sentAt_ = scheduler_.Now();
  result_.wasSent = true;
  result_.database = choice_.pool->Info().id;
  result_.ranAtReplica = !choice_.isPrimary;
  Sql::DatabaseCommand command;
  command.requestId = statement_.requestId;
  command.kind = Sql::CommandKind::ClientStatement;
  command.text = statement_.text;
  if (const std::string* shape = Shape()) {
    command.kind = Sql::CommandKind::ClientExecute;
    command.name = connection_->state.NameOf(*shape);
    command.argument = statement_.argument;
  }
  if (!IsInTransaction())
    command.atLeast = choice_.floor;
  else if (IsWrite())
    context_.transaction->hasWritten = true;
  attempt_ = std::make_shared<Attempt>(Attempt{ choice_.pool, connection_ });
  connection_->link->Send(
    command,
    [this, alive = alive_, weak = std::weak_ptr(attempt_)](
      Sql::DatabaseReply aReply) {
      // The connection holds this, and the attempt holds the connection.
      const auto attempt = weak.lock();
      if (attempt == nullptr)
        return;
      attempt->isOver = true;
      if (attempt->isDetached)
        attempt->pool->Release(attempt->connection,
                               aReply.isComplete &&
                                 aReply.state == Sql::TransactionState::Idle);
      if (!*alive)
        return;
      if (attempt->isDetached)
        OnDetachedReply(std::move(aReply));
      else
        OnReply(std::move(aReply));
    });
  PlanHedge();
}

void
StatementRun::PlanHedge()
{
  const bool mayHedge = !IsInTransaction() && !need_.needsPrimary &&
                        result_.attempts < kMaxAttempts && !IsFencedRead();
  if (!mayHedge)
    return;
  const Core::Duration patience = std::max<Core::Duration>(
    kLeastHedgeDelay, choice_.pool->UsualLatency() * kHedgeFactor);
  hedge_ = scheduler_.After(patience, [this] { Hedge(); });
}

void
StatementRun::Hedge()
{
  // A database that answers nobody is left by those who come after.
  if (choice_.pool->IsSilentSince(sentAt_))
    choice_.pool->RecordFailure();
  Detach();
  TryElsewhere(true, Core::Duration::zero());
}

void
StatementRun::Detach()
{
  hedge_.reset();
  connection_.reset();
  attempt_->isDetached = true;
  scheduler_.DeferFor(context_.route.statementTimeout,
                      [attempt = std::move(attempt_)] {
                        if (std::exchange(attempt->isOver, true))
                          return;
                        attempt->pool->Release(attempt->connection, false);
                      });
}

void
StatementRun::OnDetachedReply(Sql::DatabaseReply aReply)
{
  if (!aReply.IsSuccess())
    return;
  // The first database was quicker after all.
  if (phase_ == Phase::Sent && connection_ != nullptr)
    Detach();
  DropConnection();
  result_.rows = std::move(aReply.rows);
  result_.signature = std::move(aReply.signature);
  Finish();
}

void
StatementRun::RecordAnswer(const Sql::DatabaseReply& aReply)
{
  choice_.pool->RecordLatency(scheduler_.Now() - sentAt_);
  choice_.pool->RecordSuccess();
  if (!aReply.position)
    return;
  choice_.pool->RecordPosition(*aReply.position);
  // A former primary answers plain reads, and commits of nothing, as before.
  const bool isCommitOfNothing = IsCommit() && !MayChangeData(Facts());
  const bool isRefusedByFormer = IsInTransaction() || IsWrite() ||
                                 IsFencedRead() || !choice_.needsFencedRead;
  if (choice_.isPrimary && isRefusedByFormer && !isCommitOfNothing)
    router_.AddSample(sentAt_, *aReply.position);
}

void
StatementRun::OnReply(Sql::DatabaseReply aReply)
{
  hedge_.reset();
  if (!aReply.isComplete) {
    choice_.pool->RecordFailure();
    OnLost();
    return;
  }
  if (aReply.error) {
    OnError(aReply);
    return;
  }
  if (choice_.isPrimary && aReply.position &&
      aReply.position->term > choice_.term && !MayChangeData(Facts())) {
    // It follows another primary already; what it read may be old.
    OnFormerPrimary();
    return;
  }
  RecordAnswer(aReply);
  OnSuccess(std::move(aReply));
}

void
StatementRun::OnFormerPrimary()
{
  if (IsInTransaction()) {
    RollBack();
    Fail(Sql::ErrorCode::RolledBack, "the primary has been replaced");
    return;
  }
  DropConnection();
  if (result_.attempts >= kMaxAttempts)
    Fail(Sql::ErrorCode::Busy, "the primary has been replaced");
  else
    TryElsewhere(false, kReadOnlyDelay);
}

void
StatementRun::OnSuccess(Sql::DatabaseReply aReply)
{
  const bool endsTransaction = IsInTransaction() && IsCommit();
  const bool mayChangeData = MayChangeData(Facts());
  if (mayChangeData && !HasAuthority()) {
    // Another primary may have been promoted without this write.
    ReturnConnection(true);
    Fail(Sql::ErrorCode::InDoubt, "the primary may have been replaced");
    return;
  }
  if (mayChangeData)
    result_.written = aReply.position;
  result_.rows = std::move(aReply.rows);
  result_.signature = std::move(aReply.signature);
  const auto expected = IsInTransaction() && !endsTransaction
                          ? Sql::TransactionState::Open
                          : Sql::TransactionState::Idle;
  if (IsFencedRead())
    choice_.pool->RollBackAndRelease(std::exchange(connection_, nullptr));
  else if (!IsInTransaction() || endsTransaction)
    ReturnConnection(aReply.state == expected);
  Finish();
}

void
StatementRun::OnError(const Sql::DatabaseReply& aReply)
{
  const Sql::ErrorCode code = aReply.error->code;
  if (aReply.position && !choice_.isPrimary)
    choice_.pool->RecordPosition(*aReply.position);
  if (IsInTransaction() && !IsFirstInTransaction()) {
    OnErrorInTransaction(aReply);
    return;
  }
  const Reaction reaction = result_.attempts < kMaxAttempts
                              ? ReactionTo(code, Facts())
                              : Reaction::Report;
  ReturnConnection(aReply.state == Sql::TransactionState::Idle &&
                   code != Sql::ErrorCode::NoStatement);
  switch (reaction) {
    case Reaction::Report:
      result_.error = aReply.error;
      Finish();
      return;
    case Reaction::GoElsewhere:
      TryElsewhere(true, Core::Duration::zero());
      return;
    case Reaction::AwaitPrimary:
      TryElsewhere(false, kReadOnlyDelay);
      return;
    case Reaction::Wait:
      TryElsewhere(!need_.needsPrimary, kBusyDelay);
  }
}

void
StatementRun::OnErrorInTransaction(const Sql::DatabaseReply& aReply)
{
  const Sql::Error error = *aReply.error;
  const bool isOpen = aReply.state == Sql::TransactionState::Open;
  if (error.code == Sql::ErrorCode::Busy && isOpen) {
    // It didn't run and the transaction is whole, so it is sent again.
    phase_ = Phase::Preparing;
    retry_ = scheduler_.After(kBusyDelay, [this] { SendStatement(); });
    return;
  }
  const Sql::ErrorCode verdict =
    VerdictOnErrorInTransaction(Facts(), error.code);
  RollBack();
  Fail(verdict, error.text);
}

void
StatementRun::RollBack()
{
  const PooledConnectionHandle connection = std::exchange(connection_, nullptr);
  context_.transaction->connection = nullptr;
  choice_.pool->RollBackAndRelease(connection);
}

void
StatementRun::OnLost()
{
  const auto verdict = VerdictOnLostConnection(Facts());
  retry_.reset();
  DropConnection();
  if (verdict) {
    Fail(*verdict, "the connection to the database was lost");
    return;
  }
  if (result_.attempts >= kMaxAttempts) {
    Fail(Sql::ErrorCode::Busy, "no database answered");
    return;
  }
  TryElsewhere(!need_.needsPrimary, Core::Duration::zero());
}

void
StatementRun::TryElsewhere(bool aExclude, Core::Duration aDelay)
{
  if (aExclude && choice_.pool != nullptr)
    need_.excluded.insert(choice_.pool->Info().id);
  if (connection_ != nullptr)
    ReturnConnection(true);
  phase_ = Phase::AwaitingChoice;
  if (result_.attempts >= kMaxAttempts && !need_.needsPrimary)
    need_.needsPrimary = true;
  retry_ = scheduler_.After(aDelay, [this] { Choose(); });
}

void
StatementRun::OnWaitedTooLong()
{
  Fail(Sql::ErrorCode::Busy,
       phase_ == Phase::AwaitingChoice ? "no database may be used now"
                                       : "the database has no free connection");
}

void
StatementRun::OnTimeout()
{
  const StatementFacts facts = Facts();
  if (facts.wasSent)
    choice_.pool->RecordFailure();
  DropConnection();
  Fail(VerdictOnTimeOver(facts),
       facts.wasSent ? "the database didn't answer in time"
                     : "the statement's time is over");
}

void
StatementRun::DropConnection()
{
  if (connection_ == nullptr)
    return;
  ReturnConnection(false);
}

void
StatementRun::ReturnConnection(bool aIsClean)
{
  const PooledConnectionHandle connection = std::exchange(connection_, nullptr);
  if (connection == nullptr)
    return;
  if (IsInTransaction())
    context_.transaction->connection = nullptr;
  choice_.pool->Release(connection, aIsClean);
}

void
StatementRun::Fail(Sql::ErrorCode aCode, std::string aText)
{
  if (connection_ != nullptr)
    DropConnection();
  result_.error = Sql::Error{ aCode, std::move(aText) };
  Finish();
}

void
StatementRun::NoteInputs()
{
  result_.term = choice_.term;
  result_.floor = choice_.floor;
  const Core::Instant askedAt = router_.Authority().AskedAt();
  if (askedAt != Authority::kNever)
    result_.authorityAge = scheduler_.Now() - askedAt;
}

void
StatementRun::Finish()
{
  NoteInputs();
  // A transaction keeps its connection; the run must not close it.
  connection_.reset();
  timeout_.reset();
  waitLimit_.reset();
  retry_.reset();
  hedge_.reset();
  preparation_.reset();
  router_.CancelWait(std::exchange(changeTicket_, 0));
  if (choice_.pool != nullptr)
    choice_.pool->Cancel(std::exchange(poolTicket_, 0));
  *alive_ = false;
  const Handler done = std::exchange(done_, nullptr);
  done(std::move(result_));
}

} // namespace Pooler
