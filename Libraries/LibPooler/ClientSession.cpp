#include <LibPooler/ClientSession.h>

#include <utility>

namespace Pooler {

namespace {

using Sql::StatementKind;

/** A client that exceeds this number of queued statements is disconnected. */
constexpr std::size_t kMaxQueuedStatements = 64;

/**
 * An operation waits for its quota for this part of its route's target latency.
 */
constexpr int kQuotaWaitDivisor = 4;
/** What an entry of a container needs beside its texts. */
constexpr std::size_t kEntryBytes = 128;

/**
 * The running statement is held several times: as received, as a command, and
 * in the write buffer to a database.
 */
constexpr std::size_t kCopiesWhileRunning = 3;

std::size_t
BytesOf(const Sql::Statement& aStatement)
{
  return kEntryBytes + aStatement.requestId.size() + aStatement.text.size() +
         aStatement.name.size() + aStatement.argument.size();
}

std::size_t
EntryBytes(std::string_view aName, std::string_view aText)
{
  return kEntryBytes + aName.size() + aText.size();
}

bool
EndsTransaction(StatementKind aKind)
{
  return aKind == StatementKind::Commit || aKind == StatementKind::Rollback;
}

} // namespace

ClientSession::ClientSession(Core::Scheduler& aScheduler,
                             SessionHost& aHost,
                             ClientPort& aPort,
                             std::string aDatabase,
                             std::string aKey)
  : scheduler_(aScheduler)
  , host_(aHost)
  , port_(aPort)
  , database_(std::move(aDatabase))
  , key_(std::move(aKey))
{
}

ClientSession::~ClientSession()
{
  // The run refers to the transaction, so it is destroyed first.
  run_.reset();
  ReleaseTransaction();
}

Sql::TransactionState
ClientSession::State() const
{
  if (hasFailed_)
    return Sql::TransactionState::Failed;
  return transaction_ ? Sql::TransactionState::Open
                      : Sql::TransactionState::Idle;
}

bool
ClientSession::IsIdle() const
{
  return !isRunning_ && queue_.empty() && !transaction_ && !hasFailed_;
}

void
ClientSession::OnStatement(Sql::Statement aStatement)
{
  if (queue_.size() >= kMaxQueuedStatements) {
    port_.CloseSession();
    return;
  }
  queuedBytes_ += BytesOf(aStatement);
  queue_.push_back(std::move(aStatement));
  Continue();
}

void
ClientSession::Continue()
{
  if (!isRunning_ && !queue_.empty() && !port_.IsBacklogged())
    RunNext();
}

void
ClientSession::DropQueued()
{
  const std::size_t kept = isRunning_ ? 1 : 0;
  while (queue_.size() > kept) {
    queuedBytes_ -= BytesOf(queue_.back());
    queue_.pop_back();
  }
}

std::size_t
ClientSession::HeldBytes() const
{
  const std::size_t copies =
    run_ != nullptr ? (kCopiesWhileRunning - 1) * BytesOf(queue_.front()) : 0;
  return queuedBytes_ + stateBytes_ + copies;
}

void
ClientSession::RunNext()
{
  isRunning_ = true;
  startedAt_ = scheduler_.Now();
  idleTimer_.reset();
  Handle();
}

void
ClientSession::Handle()
{
  if (hasFailed_) {
    HandleInFailedTransaction();
    return;
  }
  if (!transaction_ && !host_.AcceptsWork()) {
    ReplyError({ Sql::ErrorCode::Busy, "the node is stopping" });
    port_.CloseSession();
    return;
  }
  const Sql::Statement& statement = queue_.front();
  switch (statement.kind) {
    case StatementKind::Invalid:
      ReplyError({ Sql::ErrorCode::Malformed, "the statement can't be read" });
      return;
    case StatementKind::Set:
      HandleSet();
      return;
    case StatementKind::Prepare:
      HandlePrepare();
      return;
    case StatementKind::Deallocate:
      HandleDeallocate();
      return;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      HandleBegin();
      return;
    case StatementKind::Rollback:
      HandleRollback();
      return;
    case StatementKind::Commit:
      if (!transaction_) {
        ReplyError({ Sql::ErrorCode::Malformed, "no transaction is open" });
        return;
      }
      RunAtDatabase();
      return;
    case StatementKind::Execute:
      if (!prepared_.contains(statement.name)) {
        hasFailed_ = transaction_.has_value();
        ReplyError({ Sql::ErrorCode::NoStatement, statement.name });
        return;
      }
      RunAtDatabase();
      return;
    case StatementKind::Read:
    case StatementKind::Write:
      RunAtDatabase();
      return;
  }
}

void
ClientSession::HandleInFailedTransaction()
{
  const StatementKind kind = queue_.front().kind;
  const bool wasEnded = std::exchange(wasRolledBackWhileIdle_, false);
  if (!EndsTransaction(kind)) {
    if (wasEnded)
      ReplyError({ Sql::ErrorCode::RolledBack,
                   "the transaction was rolled back while idle" });
    else
      ReplyError({ Sql::ErrorCode::Malformed, "the transaction has failed" });
    return;
  }
  hasFailed_ = false;
  ReleaseTransaction();
  if (kind == StatementKind::Rollback)
    ReplySuccess({}, "-");
  else
    ReplyError({ Sql::ErrorCode::RolledBack, "the transaction has failed" });
}

bool
ClientSession::ExceedsState(std::size_t aReplacedBytes)
{
  const Sql::Statement& statement = queue_.front();
  const std::size_t added = EntryBytes(statement.name, statement.argument);
  if (stateBytes_ - aReplacedBytes + added > maxStateBytes_) {
    hasFailed_ = transaction_.has_value();
    ReplyError({ Sql::ErrorCode::TooLarge, "the session holds too much" });
    return true;
  }
  stateBytes_ = stateBytes_ - aReplacedBytes + added;
  return false;
}

void
ClientSession::HandleSet()
{
  const Sql::Statement& statement = queue_.front();
  const auto held = values_.find(statement.name);
  if (ExceedsState(
        held == values_.end() ? 0 : EntryBytes(held->first, held->second)))
    return;
  values_[statement.name] = statement.argument;
  ReplySuccess({}, "-");
}

void
ClientSession::HandleDeallocate()
{
  const auto held = prepared_.find(queue_.front().name);
  if (held != prepared_.end()) {
    stateBytes_ -= EntryBytes(held->first, held->second.preparedText);
    prepared_.erase(held);
  }
  ReplySuccess({}, "-");
}

void
ClientSession::HandlePrepare()
{
  const Sql::Statement& statement = queue_.front();
  const auto held = prepared_.find(statement.name);
  if (ExceedsState(held == prepared_.end()
                     ? 0
                     : EntryBytes(held->first, held->second.preparedText)))
    return;
  prepared_[statement.name] = { statement.argument, statement.preparesWrite };
  ReplySuccess({}, "-");
}

void
ClientSession::HandleBegin()
{
  if (transaction_) {
    ReplyError({ Sql::ErrorCode::Malformed, "a transaction is open already" });
    return;
  }
  const Route* route = host_.FindRoute(database_);
  if (route == nullptr) {
    ReplyError({ Sql::ErrorCode::NoDatabase, database_ });
    return;
  }
  route_ = *route;
  transaction_.emplace();
  transaction_->isReadOnly =
    queue_.front().kind == StatementKind::BeginReadOnly;
  ReplySuccess({}, "-");
}

void
ClientSession::HandleRollback()
{
  ReleaseTransaction();
  ReplySuccess({}, "-");
}

void
ClientSession::ReleaseTransaction()
{
  if (!transaction_)
    return;
  if (transaction_->connection != nullptr)
    transaction_->pool->Release(transaction_->connection);
  transaction_.reset();
}

void
ClientSession::RunAtDatabase()
{
  if (!transaction_) {
    const Route* route = host_.FindRoute(database_);
    if (route == nullptr) {
      ReplyError({ Sql::ErrorCode::NoDatabase, database_ });
      return;
    }
    route_ = *route;
  }
  if (!IsRefused() && IsWithinQuota())
    StartRun();
}

bool
ClientSession::IsWithinQuota()
{
  // A transaction counts once. A commit without a connection sends nothing.
  const bool sendsNothing = transaction_ &&
                            transaction_->connection == nullptr &&
                            queue_.front().kind == StatementKind::Commit;
  if (isCharged_ || sendsNothing)
    return true;
  switch (host_.Admit(customer_)) {
    case Quota::Decision::Admitted:
      isCharged_ = true;
      return true;
    case Quota::Decision::Refused:
      // Starts the statement queued behind it.
      OnAdmission(false);
      return false;
    case Quota::Decision::Pending:
      admission_ = host_.AwaitAdmission(
        customer_,
        route_.targetLatency / kQuotaWaitDivisor,
        [this](bool aIsAdmitted) { OnAdmission(aIsAdmitted); });
      return false;
  }
  return false;
}

void
ClientSession::OnAdmission(bool aIsAdmitted)
{
  admission_.reset();
  if (aIsAdmitted) {
    isCharged_ = true;
    RunAtDatabase();
    return;
  }
  hasFailed_ = transaction_.has_value();
  ReleaseTransaction();
  ReplyError(
    { Sql::ErrorCode::Busy, "the customer has no quota left at this node" });
}

void
ClientSession::StartRun()
{
  GroupRouter* router = host_.FindRouter(route_.group);
  if (router == nullptr) {
    hasFailed_ = transaction_.has_value();
    ReplyError({ Sql::ErrorCode::Busy, "the group isn't known" });
    return;
  }
  run_ = std::make_unique<StatementRun>(
    scheduler_,
    *router,
    StatementContext{ route_,
                      values_,
                      prepared_,
                      floor_,
                      transaction_ ? &*transaction_ : nullptr,
                      customer_ },
    queue_.front(),
    [this](StatementResult aResult) { OnResult(std::move(aResult)); });
  run_->Start();
}

bool
ClientSession::IsRefused()
{
  const Access access = host_.CheckAccess(route_, key_);
  const auto error = ErrorOnAccess(access.decision);
  // A connection is bound to a customer, and so is a transaction on it.
  const bool hasChanged = transaction_ && transaction_->connection != nullptr &&
                          access.customer != customer_;
  if (!error && !hasChanged) {
    customer_ = access.customer;
    return false;
  }
  if (!transaction_) {
    ReplyError(*error);
    return true;
  }
  // A failed commit ends the transaction.
  hasFailed_ = queue_.front().kind != StatementKind::Commit;
  ReleaseTransaction();
  const bool isKeyGone = access.decision == AccessDecision::UnknownKey;
  ReplyError(isKeyGone ? *error
                       : Sql::Error{ Sql::ErrorCode::RolledBack,
                                     "the client's key may have changed" });
  return true;
}

void
ClientSession::OnResult(StatementResult aResult)
{
  // The run is still on the call stack, so a later task destroys it.
  std::shared_ptr<StatementRun> finished(std::move(run_));
  scheduler_.Defer([finished] {});
  const Sql::Statement& statement = queue_.front();
  host_.Report({ statement,
                 &route_,
                 aResult,
                 transaction_.has_value(),
                 scheduler_.Now() - startedAt_ });
  if (aResult.written && (!floor_ || *floor_ < *aResult.written))
    floor_ = aResult.written;
  if (transaction_ && statement.kind == StatementKind::Commit) {
    // A failed commit ends the transaction as well.
    transaction_.reset();
  } else if (transaction_ && aResult.error) {
    hasFailed_ = true;
    ReleaseTransaction();
  }
  if (aResult.error)
    ReplyError(*aResult.error);
  else
    ReplySuccess(aResult.rows, aResult.signature);
}

void
ClientSession::ReplySuccess(const std::vector<std::string>& aRows,
                            std::string_view aSignature)
{
  port_.SendSuccess(aRows, aSignature, State());
  NextStatement();
}

void
ClientSession::ReplyError(const Sql::Error& aError)
{
  port_.SendError(aError, State());
  NextStatement();
}

void
ClientSession::NextStatement()
{
  queuedBytes_ -= BytesOf(queue_.front());
  queue_.pop_front();
  isRunning_ = false;
  isCharged_ = isCharged_ && transaction_.has_value();
  Continue();
  // A transaction also rests while the client doesn't read its replies.
  if (!isRunning_)
    StartIdleTimer();
}

void
ClientSession::StartIdleTimer()
{
  const Core::Duration limit = host_.TransactionIdleTimeout();
  if (!transaction_ || limit == Core::Duration::zero())
    return;
  idleTimer_ = scheduler_.After(limit, [this] { EndIdleTransaction(); });
}

void
ClientSession::AbortRunningStatement()
{
  if (run_ != nullptr)
    run_->AbortRunningStatement();
  else if (admission_ != nullptr)
    OnAdmission(false);
}

void
ClientSession::EndIdleTransaction()
{
  if (!transaction_ || isRunning_)
    return;
  ReleaseTransaction();
  hasFailed_ = true;
  wasRolledBackWhileIdle_ = true;
}

} // namespace Pooler
