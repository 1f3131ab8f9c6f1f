#include "ReadRunner.h"

#include "RunnerSupport.h"

#include <algorithm>
#include <utility>

namespace Proxy {

using Endpoint::BatchStatus;
using Request::Outcome;

namespace {

/** Minimum pause after a failed attempt. */
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(5);

} // namespace

ReadRunner::ReadRunner(GroupHome& aHome,
                       Request::StatementRequest aRequest,
                       Request::ResponseCallback aCallback)
  : home_(aHome)
  , request_(std::move(aRequest))
  , callback_(std::move(aCallback))
  , startedAt_(aHome.Context().loop.Now())
  , deadline_(DeadlineOf(aHome, request_))
{
  requirements_.token = request_.token.PositionOf(aHome.Name());
  requirements_.maxAge = request_.maxAge.value_or(home_.Fleet().Milliseconds(
    "kind.accepted_age_ms", home_.ScopeOf(request_.kind)));
}

void
ReadRunner::Start()
{
  home_.Retries().RecordFirstAttempt();
  deadlineTimer_ = home_.Context().loop.After(
    deadline_ - home_.Context().loop.Now(), [self = shared_from_this()] {
      self->Finish(self->wasSent_ ? Outcome::Pending : Outcome::NotRun,
                   "no database responded before the deadline");
    });
  Choose();
}

void
ReadRunner::Choose()
{
  Request::ReadRequirements requirements = requirements_;
  if (primaryOnly_)
    requirements.maxAge = Core::Duration::zero();
  const auto chosen = home_.Router().Choose(home_.Candidates(), requirements);
  if (!chosen) {
    AwaitPrimary();
    return;
  }
  Acquire(*chosen);
}

void
ReadRunner::AwaitPrimary()
{
  waiter_ = home_.CallWhen(
    [self = shared_from_this()] {
      return self->home_.State().Primary().has_value();
    },
    [self = shared_from_this()] {
      self->waiter_ = 0;
      self->retryTimer_ = self->home_.Context().loop.After(
        kRetryPause, [self] { self->Choose(); });
    });
}

void
ReadRunner::Acquire(const std::string& aDatabase)
{
  database_ = aDatabase;
  isPrimary_ = home_.State().Primary() == aDatabase;
  ticket_ = home_.PoolOf(aDatabase)->Acquire(
    TicketOf(home_, request_.kind, deadline_),
    nullptr,
    [self = shared_from_this()](const ConnectionHandle& aConnection) {
      self->ticket_ = 0;
      self->RunOn(aConnection);
    },
    [self = shared_from_this()](Core::Duration aRetryAfter) {
      self->ticket_ = 0;
      self->retryAfter_ = aRetryAfter;
      self->Finish(self->wasSent_ ? Outcome::Pending : Outcome::NotRun,
                   "no database slot available before the deadline");
    });
}

void
ReadRunner::RunOn(const ConnectionHandle& aConnection)
{
  const Core::Instant now = home_.Context().loop.Now();
  if (!aConnection || !callback_) {
    Endpoint::BatchResponse answer;
    answer.status = BatchStatus::NotSent;
    HandleReply(aConnection, now, std::move(answer));
    return;
  }
  wasSent_ = true;
  Endpoint::Batch batch;
  batch.readOnly = true;
  batch.statements = { request_.statement };
  aConnection->Run(batch,
                   home_.Fleet().Milliseconds("requests.attempt_timeout_ms",
                                              home_.ScopeOf(request_.kind)),
                   [self = shared_from_this(), aConnection, now](
                     Endpoint::BatchResponse aAnswer) {
                     self->home_.Context().loop.Defer([aConnection] {});
                     self->HandleReply(aConnection, now, std::move(aAnswer));
                   });
}

void
ReadRunner::HandleReply(const ConnectionHandle& aConnection,
                        Core::Instant aRequestedAt,
                        Endpoint::BatchResponse aAnswer)
{
  if (DatabasePool* pool = home_.PoolOf(database_))
    pool->Release(aConnection, aRequestedAt, false);
  home_.RecordReport(database_, aAnswer.report, aRequestedAt);
  if (!callback_)
    return;
  if (aAnswer.status == BatchStatus::Ok && aAnswer.report) {
    HandleRows(aAnswer);
    return;
  }
  if (aAnswer.status == BatchStatus::StatementFailed) {
    Finish(Outcome::Failed, aAnswer.reason);
    return;
  }
  // Repeating a read is safe, but retries must not add load to a database that
  // is already overloaded.
  if (aAnswer.status == BatchStatus::Unknown && !home_.Retries().TryRetry()) {
    Finish(Outcome::Pending,
           "no response from the database, and the retry budget is exhausted");
    return;
  }
  primaryOnly_ = true;
  home_.PollNow();
  retryTimer_ = home_.Context().loop.After(
    kRetryPause, [self = shared_from_this()] { self->Choose(); });
}

void
ReadRunner::HandleRows(Endpoint::BatchResponse& aAnswer)
{
  const Endpoint::DatabaseReport& report = *aAnswer.report;
  if (!aAnswer.results.empty())
    result_ = std::move(aAnswer.results.front());
  age_ = home_.State().AgeOf(report.log, home_.Context().loop.Now());
  if (isPrimary_ || report.isPrimary) {
    HandlePrimaryRows(report);
    return;
  }
  if (Request::ReadRouter::Satisfies(requirements_, report.log, age_)) {
    home_.Context().metrics.Count("reads_replica_total");
    FinishOk(report.log);
    return;
  }
  // The replica is further behind than estimated. Only the primary is certain
  // to satisfy the requirements.
  home_.Context().metrics.Count("reads_replica_unfit_total");
  primaryOnly_ = true;
  Choose();
}

void
ReadRunner::HandlePrimaryRows(const Endpoint::DatabaseReport& aReport)
{
  const Core::Duration maxProofAge = home_.Fleet().Milliseconds(
    "reads.primary_proof_ms", home_.ScopeOf(request_.kind));
  const bool covers = Session::Covers(aReport.log, requirements_.token);
  const bool isProven =
    age_ && *age_ <= std::max(maxProofAge, requirements_.maxAge);
  if (covers && isProven) {
    isPrimary_ = true;
    home_.Context().metrics.Count("reads_primary_total");
    ConfirmRead(aReport.log);
    return;
  }
  if (!covers && IsTokenImpossible(aReport)) {
    isInvalidToken_ = true;
    Finish(Outcome::NotRun, "is ahead of every log position of the group");
    return;
  }
  home_.PollNow();
  retryTimer_ = home_.Context().loop.After(
    kRetryPause, [self = shared_from_this()] { self->Choose(); });
}

bool
ReadRunner::IsTokenImpossible(const Endpoint::DatabaseReport& aReport) const
{
  if (aReport.log.term == requirements_.token.term)
    return aReport.isPrimary;
  // A term begins only after a majority of databases has promised it. age_ is
  // measured from a moment at which a majority had not promised a later term
  // than the report's. If that moment is after the arrival of this request, the
  // token's term had not begun when the request arrived.
  return age_ && *age_ <= home_.Context().loop.Now() - startedAt_;
}

void
ReadRunner::ConfirmRead(const Session::LogPosition& aPosition)
{
  const bool confirms =
    home_.Fleet().Boolean("reads.confirm", home_.ScopeOf(request_.kind));
  if (!confirms) {
    FinishOk(aPosition);
    return;
  }
  waiter_ = home_.CallWhen(
    [self = shared_from_this(), aPosition] {
      return self->home_.State().IsConfirmed(aPosition) ||
             self->home_.State().IsReplaced(aPosition.term);
    },
    [self = shared_from_this(), aPosition] {
      self->waiter_ = 0;
      if (self->home_.State().IsConfirmed(aPosition))
        self->FinishOk(aPosition);
      else
        self->Choose();
    });
}

void
ReadRunner::FinishOk(const Session::LogPosition& aPosition)
{
  request_.token.Raise(home_.Name(), aPosition);
  Finish(Outcome::Ok, "");
}

void
ReadRunner::Finish(Outcome aOutcome, std::string aReason)
{
  if (!callback_)
    return;
  DatabasePool* pool = ticket_ != 0 ? home_.PoolOf(database_) : nullptr;
  if (pool != nullptr)
    pool->Cancel(ticket_);
  if (waiter_ != 0)
    home_.CancelWait(waiter_);
  Request::StatementResponse answer;
  answer.requestId = request_.requestId;
  answer.outcome = aOutcome;
  answer.isBadRequest = isInvalidToken_;
  answer.reason = std::move(aReason);
  answer.result = std::move(result_);
  answer.token = request_.token;
  answer.endpoint = database_;
  answer.isPrimary = isPrimary_;
  answer.retryAfter = retryAfter_;
  if (!isPrimary_)
    answer.age = age_;
  const auto callback = std::exchange(callback_, nullptr);
  deadlineTimer_.reset();
  retryTimer_.reset();
  callback(std::move(answer));
}

} // namespace Proxy
