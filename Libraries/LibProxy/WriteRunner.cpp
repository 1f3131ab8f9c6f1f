#include "WriteRunner.h"

#include "RunnerSupport.h"

#include <utility>

namespace Proxy {

using Request::WriteAction;
using Request::WriteStep;

namespace {

/** Minimum pause before a refused step is retried. */
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(5);

} // namespace

WriteRunner::WriteRunner(GroupHome& aHome,
                         Request::StatementRequest aRequest,
                         const Request::WriteRules& aRules,
                         Request::ResponseCallback aCallback)
  : home_(aHome)
  , request_(std::move(aRequest))
  , flow_(aRules)
  , usesLedger_(aRules.usesLedger)
  , callback_(std::move(aCallback))
  , deadline_(DeadlineOf(aHome, request_))
{
}

void
WriteRunner::Start()
{
  home_.Retries().RecordFirstAttempt();
  ArmDeadline();
  std::optional<Session::Term> term;
  if (home_.State().Primary())
    term = home_.State().HighestTerm();
  Execute(flow_.Start(term));
}

void
WriteRunner::ArmDeadline()
{
  deadlineTimer_ = home_.Context().loop.After(
    deadline_ - home_.Context().loop.Now(),
    [self = shared_from_this()] { self->OnDeadline(); });
}

void
WriteRunner::StartResolution()
{
  ArmDeadline();
  isCommit_ = true;
  Execute(flow_.StartResolution());
}

void
WriteRunner::StartCommit(const std::string& aDatabase,
                         const ConnectionHandle& aConnection)
{
  ArmDeadline();
  isCommit_ = true;
  database_ = aDatabase;
  DatabasePool* pool = home_.PoolOf(aDatabase);
  if (pool == nullptr) {
    // The database is no longer in the group, so the transaction is lost.
    aConnection->Close();
    Execute(flow_.OnRefused("the database has left the group"));
    return;
  }
  const WriteAction action = flow_.StartSent();
  step_ = action.step;
  ticket_ = pool->Acquire(
    TicketOf(home_, request_.kind, deadline_),
    aConnection,
    [self = shared_from_this()](const ConnectionHandle& aGranted) {
      self->ticket_ = 0;
      self->RunOn(aGranted,
                  Request::Ledger::CommitBatch(self->request_.requestId,
                                               self->ExpiresAt()));
    },
    [self = shared_from_this(), aConnection](Core::Duration aRetryAfter) {
      if (DatabasePool* present = self->home_.PoolOf(self->database_))
        present->ClosePinned(aConnection);
      self->OnRefused(aRetryAfter);
    });
}

std::int64_t
WriteRunner::ExpiresAt() const
{
  return Core::WallClockMilliseconds() +
         home_.Fleet().Integer("requests.ledger_expiry_ms",
                               home_.ScopeOf(request_.kind));
}

void
WriteRunner::Execute(const WriteAction& aAction)
{
  step_ = aAction.step;
  switch (aAction.step) {
    case WriteStep::AwaitPrimary:
      AwaitPrimary(aAction.term);
      return;
    case WriteStep::SendOriginal:
    case WriteStep::SendTombstone:
    case WriteStep::LookUp:
      Send(aAction);
      return;
    case WriteStep::AwaitConfirmation:
      AwaitConfirmation(aAction);
      return;
    case WriteStep::Finish:
      Finish();
      return;
  }
}

void
WriteRunner::AwaitPrimary(Session::Term aMinimumTerm)
{
  const auto wait = [self = shared_from_this(), aMinimumTerm] {
    self->waiter_ = self->home_.CallWhen(
      [self, aMinimumTerm] {
        return self->home_.State().HighestTerm() >= aMinimumTerm &&
               self->home_.State().Primary().has_value();
      },
      [self] {
        self->waiter_ = 0;
        self->Execute(self->flow_.OnPrimary(self->home_.State().HighestTerm()));
      });
  };
  // The first wait may end immediately. A later wait follows a refusal;
  // retrying at the same database without a pause would only add load.
  if (!std::exchange(hasAwaitedPrimary_, true)) {
    wait();
    return;
  }
  home_.PollNow();
  retryTimer_ = home_.Context().loop.After(kRetryPause, wait);
}

void
WriteRunner::AwaitConfirmation(const WriteAction& aAction)
{
  const auto required = static_cast<std::size_t>(home_.Fleet().Integer(
    "writes.required_databases", home_.ScopeOf(request_.kind)));
  const Core::Instant since = home_.Context().loop.Now();
  if (aAction.needsFreshReports)
    home_.PollNow();
  const auto isConfirmed = [this, aAction, required, since] {
    return aAction.needsFreshReports
             ? home_.State().IsConfirmedSince(aAction.position, since, required)
             : home_.State().IsConfirmed(aAction.position, required);
  };
  waiter_ = home_.CallWhen(
    [this, self = shared_from_this(), aAction, isConfirmed] {
      return isConfirmed() || home_.State().IsReplaced(aAction.position.term);
    },
    [this, self = shared_from_this(), isConfirmed] {
      waiter_ = 0;
      Execute(isConfirmed() ? flow_.OnConfirmed() : flow_.OnReplaced());
    });
}

Endpoint::Batch
WriteRunner::BatchFor(const WriteAction& aAction) const
{
  using Request::Ledger;
  if (aAction.step == WriteStep::LookUp)
    return Ledger::LookUpBatch(aAction.term, request_.requestId);
  if (aAction.step == WriteStep::SendTombstone)
    return Ledger::TombstoneBatch(
      aAction.term, request_.requestId, ExpiresAt());
  if (usesLedger_)
    return Ledger::RunBatch(
      aAction.term, request_.requestId, request_.statement, ExpiresAt());
  Endpoint::Batch batch;
  batch.term = aAction.term;
  batch.begin = true;
  batch.commit = true;
  batch.statements = { request_.statement };
  return batch;
}

void
WriteRunner::Send(const WriteAction& aAction)
{
  const auto primary = home_.State().Primary();
  DatabasePool* pool = primary ? home_.PoolOf(*primary) : nullptr;
  if (pool == nullptr) {
    AwaitPrimary(0);
    return;
  }
  database_ = *primary;
  ticket_ = pool->Acquire(
    TicketOf(home_, request_.kind, deadline_),
    nullptr,
    [self = shared_from_this(),
     batch = BatchFor(aAction)](const ConnectionHandle& aConnection) {
      self->ticket_ = 0;
      self->RunOn(aConnection, batch);
    },
    [self = shared_from_this()](Core::Duration aRetryAfter) {
      self->OnRefused(aRetryAfter);
    });
}

void
WriteRunner::RunOn(const ConnectionHandle& aConnection,
                   const Endpoint::Batch& aBatch)
{
  const Core::Instant now = home_.Context().loop.Now();
  if (!callback_) {
    // The deadline passed while the connection was being opened.
    if (DatabasePool* pool = home_.PoolOf(database_))
      pool->Release(aConnection, now, false);
    return;
  }
  if (!aConnection) {
    Endpoint::BatchResponse answer;
    answer.status = Endpoint::BatchStatus::NotSent;
    answer.reason = "no connection to " + database_;
    HandleReply(aConnection, now, std::move(answer));
    return;
  }
  flow_.OnSent();
  aConnection->Run(aBatch,
                   home_.Fleet().Milliseconds("requests.attempt_timeout_ms",
                                              home_.ScopeOf(request_.kind)),
                   [self = shared_from_this(), aConnection, now](
                     Endpoint::BatchResponse aAnswer) {
                     self->home_.Context().loop.Defer([aConnection] {});
                     self->HandleReply(aConnection, now, std::move(aAnswer));
                   });
}

void
WriteRunner::HandleReply(const ConnectionHandle& aConnection,
                         Core::Instant aRequestedAt,
                         Endpoint::BatchResponse aAnswer)
{
  if (DatabasePool* pool = home_.PoolOf(database_))
    pool->Release(aConnection, aRequestedAt, false);
  home_.RecordReport(database_, aAnswer.report, aRequestedAt);
  // The caller may already have received a reply at the deadline.
  if (!callback_)
    return;
  if (step_ == WriteStep::LookUp) {
    HandleLookUpReply(aAnswer);
    return;
  }
  const bool isLedgerHit = usesLedger_ && Request::Ledger::IsHit(aAnswer);
  const bool mayRetry = aAnswer.status == Endpoint::BatchStatus::Unknown &&
                        home_.Retries().TryRetry();
  if (aAnswer.status == Endpoint::BatchStatus::Unknown)
    home_.Context().metrics.Count("writes_unknown_total");
  StoreResult(aAnswer);
  Execute(flow_.OnBatch(aAnswer, isLedgerHit, mayRetry));
}

void
WriteRunner::StoreResult(Endpoint::BatchResponse& aAnswer)
{
  const std::size_t index = usesLedger_ ? Request::Ledger::kCallerStatement : 0;
  const bool isCallerStatement = step_ == WriteStep::SendOriginal && !isCommit_;
  if (isCallerStatement && aAnswer.status == Endpoint::BatchStatus::Ok &&
      aAnswer.results.size() > index)
    result_ = std::move(aAnswer.results[index]);
}

void
WriteRunner::HandleLookUpReply(const Endpoint::BatchResponse& aAnswer)
{
  std::int64_t affected = 0;
  const auto row = Request::Ledger::ReadRow(aAnswer, affected);
  if (row == Request::LedgerRow::Run) {
    result_ = {};
    result_.affected = affected;
  }
  Execute(flow_.OnLookUp(
    row, aAnswer.report ? aAnswer.report->log : Session::LogPosition{}));
}

void
WriteRunner::OnRefused(Core::Duration aRetryAfter)
{
  ticket_ = 0;
  if (!callback_)
    return;
  retryAfter_ = aRetryAfter;
  Execute(flow_.OnRefused("no database slot available before the deadline"));
}

void
WriteRunner::OnDeadline()
{
  if (!callback_)
    return;
  DatabasePool* pool = ticket_ != 0 ? home_.PoolOf(database_) : nullptr;
  if (pool != nullptr)
    pool->Cancel(ticket_);
  Execute(flow_.OnDeadline());
}

void
WriteRunner::Finish()
{
  if (waiter_ != 0)
    home_.CancelWait(waiter_);
  retryTimer_.reset();
  const Request::WriteResult& result = flow_.Result();
  Request::StatementResponse answer;
  answer.requestId = request_.requestId;
  answer.outcome = result.outcome;
  answer.reason = result.reason;
  answer.retryAfter = retryAfter_;
  answer.isReplayed = result.isReplayed;
  answer.result = std::move(result_);
  answer.token = request_.token;
  answer.endpoint = database_;
  answer.isPrimary = true;
  if (result.position != Session::LogPosition{})
    answer.token.Raise(home_.Name(), result.position);
  const auto callback = std::exchange(callback_, nullptr);
  deadlineTimer_.reset();
  callback(std::move(answer));
}

} // namespace Proxy
