#include <LibPooler/StatementRun.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** Attempts per statement, unless its timeout ends it earlier. */
constexpr int kMaxAttempts = 6;

/** Retry delay when a database is busy or all have been excluded. */
constexpr Core::Duration kBusyRetryDelay = std::chrono::milliseconds(15);

/** Retry delay when a database chosen as primary replies that it isn't one. */
constexpr Core::Duration kReadOnlyRetryDelay = std::chrono::milliseconds(30);

/**
 * A read is hedged when its reply takes this many times the usual latency, but
 * not before the minimum delay. Ordinary latencies vary by less than that.
 */
constexpr int kHedgeFactor = 4;
constexpr Core::Duration kMinHedgeDelay = std::chrono::milliseconds(250);

/**
 * The share of the statement timeout that may pass before the statement is
 * sent to a database. The rest is needed to run it.
 */
constexpr double kMaxWaitShare = 0.75;

} // namespace

/** Wraps a callback so that it does nothing once the run has ended. */
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
  , context_(std::move(aContext))
  , statement_(std::move(aStatement))
  , profile_(statement_, context_)
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
  // The run is destroyed before its end, so nothing waits for its result. The
  // state of the connection is unknown, so it can't be reused.
  DropConnection();
}

bool
StatementRun::IsFencedRead() const
{
  return !profile_.IsInTransaction() && choice_.isPrimary &&
         choice_.needsFencedRead && !profile_.IsWrite();
}

Sql::TransactionState
StatementRun::ExpectedState() const
{
  const bool staysOpen = profile_.IsInTransaction() && !profile_.IsCommit();
  return staysOpen || IsFencedRead() ? Sql::TransactionState::Open
                                     : Sql::TransactionState::Idle;
}

bool
StatementRun::MustBegin() const
{
  return profile_.IsFirstInTransaction() || IsFencedRead();
}

void
StatementRun::Start()
{
  requirements_ = profile_.Requirements();
  const Core::Duration limit = context_.route.statementTimeout;
  timeout_ = scheduler_.After(limit, [this] { OnTimeout(); });
  if (profile_.IsInTransaction() && !profile_.IsFirstInTransaction()) {
    const OpenTransaction& transaction = *context_.transaction;
    choice_.pool = transaction.pool;
    choice_.isPrimary = transaction.isOnPrimary;
    choice_.term = transaction.term;
    choice_.needsFencedRead = true;
    OnConnection(transaction.connection);
    return;
  }
  const auto share = Core::Duration(
    static_cast<long long>(static_cast<double>(limit.count()) * kMaxWaitShare));
  waitLimit_ = scheduler_.After(share, [this] { OnWaitLimitReached(); });
  Choose();
}

void
StatementRun::Choose()
{
  const auto choice = router_.Choose(requirements_);
  if (!choice && !requirements_.excluded.empty()) {
    // All databases have rejected it; try them again after a delay.
    requirements_.excluded.clear();
    retry_ = scheduler_.After(kBusyRetryDelay, [this] { Choose(); });
    return;
  }
  if (!choice) {
    AwaitChange();
    return;
  }
  choice_ = *choice;
  router_.RecordChoice(requirements_, choice_);
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
      profile_.PreparedText() != nullptr
        ? std::optional(*profile_.PreparedText())
        : std::nullopt,
      requirements_.needsPrimary,
      context_.customer },
    Guard([this](PooledConnectionHandle aConnection, PoolRefusal) {
      poolTicket_ = 0;
      if (aConnection == nullptr) {
        ChooseAgain(true, kBusyRetryDelay);
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
  const bool isPinned =
    profile_.IsInTransaction() && !profile_.IsFirstInTransaction();
  const bool mustValidate = !isPinned && requirements_.needsPrimary &&
                            connection_->NeedsValidation(scheduler_.Now());
  auto commands =
    mustValidate
      ? connection_->state.ResetAndPrepare(context_.values,
                                           profile_.PreparedText())
      : connection_->state.Prepare(context_.values, profile_.PreparedText());
  if (!MustBegin())
    return commands;
  // At a primary, even a read-only transaction is opened as one that may write,
  // so that the database ends it when it steps down.
  commands.push_back({ .kind = choice_.isPrimary
                                 ? Sql::CommandKind::Begin
                                 : Sql::CommandKind::BeginReadOnly });
  commands.back().minimumPosition = choice_.floor;
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
              *connection_,
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
  // Without a reply, or after a failed command, the state of the connection is
  // unknown.
  if (!isLost)
    choice_.pool->RecordFailure();
  OnConnectionLost();
}

void
StatementRun::OnReadyToSend()
{
  if (profile_.IsFirstInTransaction()) {
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
  // The lease for plain reads is short and may have ended while the statement
  // waited for its connection.
  const bool isPlainRead = !profile_.IsInTransaction() && !profile_.IsWrite() &&
                           !choice_.needsFencedRead;
  if (isPlainRead && !router_.Authority().HoldsForPlainReads(scheduler_.Now()))
    return false;
  return HasAuthority();
}

void
StatementRun::SendStatement()
{
  if (!MaySendNow()) {
    if (profile_.IsInTransaction())
      Fail(Sql::ErrorCode::RolledBack, "the primary is being replaced");
    else
      ChooseAgain(false, Core::Duration::zero());
    return;
  }
  phase_ = Phase::Sent;
  waitLimit_.reset();
  sentAt_ = scheduler_.Now();
  result_.wasSent = true;
  result_.database = choice_.pool->Info().id;
  result_.owner = connection_->Owner();
  result_.ranAtReplica = !choice_.isPrimary;
  Sql::DatabaseCommand command;
  command.requestId = statement_.requestId;
  command.kind = Sql::CommandKind::ClientStatement;
  command.text = statement_.text;
  if (const std::string* preparedText = profile_.PreparedText()) {
    command.kind = Sql::CommandKind::ClientExecute;
    command.name = connection_->state.NameOf(*preparedText);
    command.argument = statement_.argument;
  }
  if (!profile_.IsInTransaction())
    command.minimumPosition = choice_.floor;
  else if (profile_.IsWrite())
    context_.transaction->hasWritten = true;
  sent_ = SentStatement::Send(
    choice_.pool,
    connection_,
    command,
    [this, alive = alive_](Sql::DatabaseReply aReply, bool aIsDetached) {
      if (!*alive)
        return;
      if (aIsDetached)
        OnDetachedReply(std::move(aReply));
      else
        OnReply(std::move(aReply));
    });
  PlanHedge();
}

void
StatementRun::PlanHedge()
{
  const bool mayHedge = !profile_.IsInTransaction() &&
                        !requirements_.needsPrimary &&
                        result_.attempts < kMaxAttempts && !IsFencedRead();
  if (!mayHedge)
    return;
  const Core::Duration hedgeDelay = std::max<Core::Duration>(
    kMinHedgeDelay, choice_.pool->AverageLatency() * kHedgeFactor);
  hedge_ = scheduler_.After(hedgeDelay, [this] { Hedge(); });
}

void
StatementRun::Hedge()
{
  // If the database has not replied to any statement since this one was sent,
  // record a failure so that later statements avoid it.
  if (choice_.pool->HasNotRespondedSince(sentAt_))
    choice_.pool->RecordFailure();
  choice_.pool->RecordOverdue(scheduler_.Now() - sentAt_, profile_.WorkKind());
  Detach();
  ChooseAgain(true, Core::Duration::zero());
}

void
StatementRun::Detach()
{
  hedge_.reset();
  connection_.reset();
  std::exchange(sent_, nullptr)
    ->Detach(scheduler_, context_.route.statementTimeout);
}

void
StatementRun::OnDetachedReply(Sql::DatabaseReply aReply)
{
  if (!aReply.IsSuccess() || aReply.state != ExpectedState())
    return;
  // The first database replied before the hedge did.
  if (phase_ == Phase::Sent && connection_ != nullptr)
    Detach();
  DropConnection();
  result_.rows = std::move(aReply.rows);
  result_.signature = std::move(aReply.signature);
  Finish();
}

void
StatementRun::RecordReply(const Sql::DatabaseReply& aReply)
{
  choice_.pool->RecordLatency(scheduler_.Now() - sentAt_, profile_.WorkKind());
  choice_.pool->RecordSuccess();
  if (!aReply.position)
    return;
  choice_.pool->RecordPosition(*aReply.position);
  // A reply gives a sample only if it shows that the database was still primary
  // when the statement was sent. A former primary refuses writes and statements
  // of transactions that may write, but still accepts plain reads and commits
  // of transactions that wrote nothing. A plain read counts if it was sent
  // under the lease for plain reads, which excludes a new primary.
  const bool isReadOnlyCommit = profile_.IsCommit() && !MayChangeData(Facts());
  const bool isRefusedByFormerPrimary = profile_.IsInTransaction() ||
                                        profile_.IsWrite() || IsFencedRead() ||
                                        !choice_.needsFencedRead;
  if (choice_.isPrimary && isRefusedByFormerPrimary && !isReadOnlyCommit)
    router_.AddSample(sentAt_, *aReply.position);
}

void
StatementRun::OnReply(Sql::DatabaseReply aReply)
{
  hedge_.reset();
  if (!aReply.isComplete) {
    choice_.pool->RecordLostAnswer();
    OnConnectionLost();
    return;
  }
  if (aReply.error) {
    OnError(aReply);
    return;
  }
  if (aReply.state != ExpectedState()) {
    // It ran inside a transaction that isn't its own, or outside its own. A
    // write that is acknowledged now might be rolled back.
    OnConnectionLost();
    return;
  }
  if (choice_.isPrimary && aReply.position &&
      aReply.position->term > choice_.term && !MayChangeData(Facts())) {
    // It already follows another primary, so its data may be stale.
    OnFormerPrimary();
    return;
  }
  RecordReply(aReply);
  OnSuccess(std::move(aReply));
}

void
StatementRun::OnFormerPrimary()
{
  if (profile_.IsInTransaction()) {
    ReleaseConnection();
    Fail(Sql::ErrorCode::RolledBack, "the primary has been replaced");
    return;
  }
  DropConnection();
  if (result_.attempts >= kMaxAttempts)
    Fail(Sql::ErrorCode::Busy, "the primary has been replaced");
  else
    ChooseAgain(false, kReadOnlyRetryDelay);
}

void
StatementRun::OnSuccess(Sql::DatabaseReply aReply)
{
  const bool endsTransaction =
    profile_.IsInTransaction() && profile_.IsCommit();
  const bool mayChangeData = MayChangeData(Facts());
  if (mayChangeData && !HasAuthority()) {
    // Another database may have been promoted without this write.
    ReleaseConnection();
    Fail(Sql::ErrorCode::InDoubt, "the primary may have been replaced");
    return;
  }
  if (mayChangeData)
    result_.written = aReply.position;
  result_.rows = std::move(aReply.rows);
  result_.signature = std::move(aReply.signature);
  if (!profile_.IsInTransaction() || endsTransaction)
    ReleaseConnection();
  Finish();
}

void
StatementRun::OnError(const Sql::DatabaseReply& aReply)
{
  const Sql::ErrorCode code = aReply.error->code;
  choice_.pool->RecordError(code);
  if (aReply.position && !choice_.isPrimary)
    choice_.pool->RecordPosition(*aReply.position);
  if (profile_.IsInTransaction() && !profile_.IsFirstInTransaction()) {
    OnErrorInTransaction(aReply);
    return;
  }
  const Reaction reaction = result_.attempts < kMaxAttempts
                              ? ReactionTo(code, Facts())
                              : Reaction::Report;
  ReleaseConnection();
  switch (reaction) {
    case Reaction::Report:
      result_.error = aReply.error;
      Finish();
      return;
    case Reaction::TryAnotherDatabase:
      ChooseAgain(true, Core::Duration::zero());
      return;
    case Reaction::AwaitPrimary:
      ChooseAgain(false, kReadOnlyRetryDelay);
      return;
    case Reaction::RetryLater:
      ChooseAgain(!requirements_.needsPrimary, kBusyRetryDelay);
  }
}

void
StatementRun::OnErrorInTransaction(const Sql::DatabaseReply& aReply)
{
  const Sql::Error error = *aReply.error;
  const bool isOpen = aReply.state == Sql::TransactionState::Open;
  if (error.code == Sql::ErrorCode::Busy && isOpen) {
    // The statement didn't run and the transaction is still open, so it can be
    // sent again.
    phase_ = Phase::Preparing;
    retry_ = scheduler_.After(kBusyRetryDelay, [this] { SendStatement(); });
    return;
  }
  const Sql::ErrorCode reportedCode =
    ErrorOnFailedTransaction(Facts(), error.code);
  ReleaseConnection();
  Fail(reportedCode, error.text);
}

void
StatementRun::OnConnectionLost()
{
  const auto reportedCode = ErrorOnLostConnection(Facts());
  retry_.reset();
  DropConnection();
  if (reportedCode) {
    Fail(*reportedCode, "the connection to the database was lost");
    return;
  }
  if (result_.attempts >= kMaxAttempts) {
    Fail(Sql::ErrorCode::Busy, "no database answered");
    return;
  }
  ChooseAgain(!requirements_.needsPrimary, Core::Duration::zero());
}

void
StatementRun::ChooseAgain(bool aExclude, Core::Duration aDelay)
{
  if (aExclude && choice_.pool != nullptr)
    requirements_.excluded.insert(choice_.pool->Info().id);
  ReleaseConnection();
  phase_ = Phase::AwaitingChoice;
  if (result_.attempts >= kMaxAttempts && !requirements_.needsPrimary)
    requirements_.needsPrimary = true;
  retry_ = scheduler_.After(aDelay, [this] { Choose(); });
}

void
StatementRun::OnWaitLimitReached()
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
    choice_.pool->RecordLostAnswer();
  DropConnection();
  Fail(ErrorOnTimeout(facts),
       facts.wasSent ? "the database didn't answer in time"
                     : "the statement's time is over");
}

PooledConnectionHandle
StatementRun::TakeConnection()
{
  if (connection_ != nullptr && profile_.IsInTransaction())
    context_.transaction->connection = nullptr;
  return std::exchange(connection_, nullptr);
}

void
StatementRun::ReleaseConnection()
{
  if (const PooledConnectionHandle connection = TakeConnection())
    choice_.pool->Release(connection);
}

void
StatementRun::DropConnection()
{
  if (const PooledConnectionHandle connection = TakeConnection())
    choice_.pool->Discard(connection);
}

void
StatementRun::Fail(Sql::ErrorCode aCode, std::string aText)
{
  DropConnection();
  result_.error = Sql::Error{ aCode, std::move(aText) };
  Finish();
}

void
StatementRun::RecordRoutingInputs()
{
  result_.term = choice_.term;
  result_.floor = choice_.floor;
  const Core::Instant requestedAt = router_.Authority().RequestedAt();
  if (requestedAt != Authority::kNoRequestTime)
    result_.authorityAge = scheduler_.Now() - requestedAt;
}

void
StatementRun::Finish()
{
  RecordRoutingInputs();
  // An open transaction keeps its connection, so it isn't closed here.
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
