#include "ReadRunner.h"

#include "RunnerSupport.h"

#include <algorithm>
#include <utility>

namespace Proxy {

using Endpoint::BatchStatus;
using Request::Outcome;

namespace {

/** After a failed try the next one starts no sooner than this. */
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(5);

} // namespace

ReadRunner::ReadRunner(GroupHome& aHome,
                       Request::StatementRequest aRequest,
                       Request::AnswerCallback aCallback)
  : home_(aHome)
  , request_(std::move(aRequest))
  , callback_(std::move(aCallback))
  , startedAt_(aHome.Context().loop.Now())
  , deadline_(DeadlineOf(aHome, request_))
{
  needs_.token = request_.token.PositionOf(aHome.Name());
  needs_.maxAge = request_.maxAge.value_or(home_.Fleet().Milliseconds(
    "kind.accepted_age_ms", home_.ScopeOf(request_.kind)));
}

void
ReadRunner::Start()
{
  home_.Retries().RecordFirstAttempt();
  deadlineTimer_ = home_.Context().loop.After(
    deadline_ - home_.Context().loop.Now(), [self = shared_from_this()] {
      self->Finish(self->wasSent_ ? Outcome::Pending : Outcome::NotRun,
                   "no database answered it by the deadline");
    });
  Choose();
}

void
ReadRunner::Choose()
{
  Request::ReadNeeds needs = needs_;
  if (primaryOnly_)
    needs.maxAge = Core::Duration::zero();
  const auto chosen = home_.Router().Choose(home_.Candidates(), needs);
  if (!chosen) {
    AwaitChange();
    return;
  }
  Acquire(*chosen);
}

void
ReadRunner::AwaitChange()
{
  waiter_ = home_.Await(
    [self = shared_from_this()] {
      return self->home_.Book().Primary().has_value();
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
  isPrimary_ = home_.Book().Primary() == aDatabase;
  ticket_ = home_.GateOf(aDatabase)->Acquire(
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
                   "no slot by the deadline");
    });
}

void
ReadRunner::RunOn(const ConnectionHandle& aConnection)
{
  const Core::Instant now = home_.Context().loop.Now();
  if (!aConnection || !callback_) {
    Endpoint::BatchAnswer answer;
    answer.status = BatchStatus::NotSent;
    TakeAnswer(aConnection, now, std::move(answer));
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
                     Endpoint::BatchAnswer aAnswer) {
                     self->home_.Context().loop.Defer([aConnection] {});
                     self->TakeAnswer(aConnection, now, std::move(aAnswer));
                   });
}

void
ReadRunner::TakeAnswer(const ConnectionHandle& aConnection,
                       Core::Instant aRequestedAt,
                       Endpoint::BatchAnswer aAnswer)
{
  if (DatabaseGate* gate = home_.GateOf(database_))
    gate->Release(aConnection, aRequestedAt, false);
  home_.Take(database_, aAnswer.report, aRequestedAt);
  if (!callback_)
    return;
  if (aAnswer.status == BatchStatus::Ok && aAnswer.report) {
    TakeRows(aAnswer);
    return;
  }
  if (aAnswer.status == BatchStatus::StatementFailed) {
    Finish(Outcome::Failed, aAnswer.reason);
    return;
  }
  // A read does no harm twice, but retries must not pile up on a brown-out.
  if (aAnswer.status == BatchStatus::Unknown && !home_.Retries().TryRetry()) {
    Finish(Outcome::Pending, "no answer, and no retry is left");
    return;
  }
  primaryOnly_ = true;
  home_.PollNow();
  retryTimer_ = home_.Context().loop.After(
    kRetryPause, [self = shared_from_this()] { self->Choose(); });
}

void
ReadRunner::TakeRows(Endpoint::BatchAnswer& aAnswer)
{
  const Endpoint::DatabaseReport& report = *aAnswer.report;
  if (!aAnswer.results.empty())
    result_ = std::move(aAnswer.results.front());
  age_ = home_.Book().AgeOf(report.log, home_.Context().loop.Now());
  if (isPrimary_ || report.isPrimary) {
    TakePrimaryRows(report);
    return;
  }
  if (Request::ReadRouter::Satisfies(needs_, report.log, age_)) {
    home_.Context().metrics.Count("reads_replica_total");
    FinishOk(report.log);
    return;
  }
  // The estimate promised too much; only the primary is sure to do.
  home_.Context().metrics.Count("reads_replica_unfit_total");
  primaryOnly_ = true;
  Choose();
}

void
ReadRunner::TakePrimaryRows(const Endpoint::DatabaseReport& aReport)
{
  const Core::Duration proof = home_.Fleet().Milliseconds(
    "reads.primary_proof_ms", home_.ScopeOf(request_.kind));
  const bool covers = Session::Covers(aReport.log, needs_.token);
  const bool isProven = age_ && *age_ <= std::max(proof, needs_.maxAge);
  if (covers && isProven) {
    isPrimary_ = true;
    home_.Context().metrics.Count("reads_primary_total");
    ConfirmRead(aReport.log);
    return;
  }
  if (!covers && IsTokenImpossible(aReport)) {
    isBadToken_ = true;
    Finish(Outcome::NotRun, "is further than anything the group has");
    return;
  }
  home_.PollNow();
  retryTimer_ = home_.Context().loop.After(
    kRetryPause, [self = shared_from_this()] { self->Choose(); });
}

bool
ReadRunner::IsTokenImpossible(const Endpoint::DatabaseReport& aReport) const
{
  if (aReport.log.term == needs_.token.term)
    return aReport.isPrimary;
  // A term begins with the promises of a majority. One that is loyal to an
  // earlier term since this request came in proves that it has not begun.
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
  waiter_ = home_.Await(
    [self = shared_from_this(), aPosition] {
      return self->home_.Book().IsConfirmed(aPosition) ||
             self->home_.Book().IsReplaced(aPosition.term);
    },
    [self = shared_from_this(), aPosition] {
      self->waiter_ = 0;
      if (self->home_.Book().IsConfirmed(aPosition))
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
  DatabaseGate* gate = ticket_ != 0 ? home_.GateOf(database_) : nullptr;
  if (gate != nullptr)
    gate->Cancel(ticket_);
  if (waiter_ != 0)
    home_.Forget(waiter_);
  Request::RequestAnswer answer;
  answer.requestId = request_.requestId;
  answer.outcome = aOutcome;
  answer.isBadRequest = isBadToken_;
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
