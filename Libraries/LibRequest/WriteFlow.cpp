#include <LibRequest/WriteFlow.h>

#include <utility>

namespace Request {

using Endpoint::BatchResponse;
using Endpoint::BatchStatus;

WriteFlow::WriteFlow(const WriteRules& aRules)
  : rules_(aRules)
  , mayHaveRun_(!aRules.isFirstAttempt)
{
}

WriteAction
WriteFlow::Start(std::optional<Term> aPrimaryTerm)
{
  if (!aPrimaryTerm)
    return AwaitPrimaryFrom(0);
  return OnPrimary(*aPrimaryTerm);
}

WriteAction
WriteFlow::StartSent()
{
  step_ = WriteStep::SendOriginal;
  stepOnPrimary_ = WriteStep::SendTombstone;
  return { step_, term_, {}, false };
}

WriteAction
WriteFlow::StartResolution()
{
  stepOnPrimary_ =
    rules_.onlyLooksUp ? WriteStep::LookUp : WriteStep::SendTombstone;
  return AwaitPrimaryFrom(0);
}

WriteAction
WriteFlow::OnPrimary(Term aTerm)
{
  term_ = aTerm;
  step_ = stepOnPrimary_;
  return { step_, term_, {}, false };
}

WriteAction
WriteFlow::AwaitPrimaryFrom(Term aTerm) const
{
  return { WriteStep::AwaitPrimary, aTerm, {}, false };
}

WriteAction
WriteFlow::OnBatch(const BatchResponse& aResponse,
                   bool aIsLedgerHit,
                   bool aMayRetry)
{
  isInFlight_ = false;
  switch (aResponse.status) {
    case BatchStatus::Ok:
      return OnOk(aResponse);
    case BatchStatus::StatementFailed:
      if (aIsLedgerHit) {
        mayHaveRun_ = true;
        step_ = WriteStep::LookUp;
        stepOnPrimary_ = WriteStep::LookUp;
        return { step_, term_, {}, false };
      }
      return OnStatementFailed(aResponse);
    case BatchStatus::WrongTerm:
    case BatchStatus::NotPrimary:
      // The database did not run it; a primary of another term may accept it.
      if (!rules_.canResend && step_ == WriteStep::SendOriginal)
        return Finish(mayHaveRun_ ? Outcome::Pending : Outcome::NotRun,
                      aResponse.reason);
      return AwaitPrimaryFrom(term_);
    case BatchStatus::UnknownConnection:
    case BatchStatus::NotSent:
      if (!rules_.canResend && step_ == WriteStep::SendOriginal) {
        // The commit did not arrive, and the transaction was rolled back with
        // its connection, so nothing is left that could run.
        return Finish(mayHaveRun_ ? Outcome::Pending : Outcome::NotRun,
                      aResponse.reason);
      }
      return AwaitPrimaryFrom(0);
    case BatchStatus::Unknown:
      mayHaveRun_ = true;
      return ResendOrClose(0, aMayRetry);
  }
  return Finish(Outcome::Pending, "unknown status");
}

WriteAction
WriteFlow::ResendOrClose(Term aTerm, bool aMayRetry)
{
  // The ledger makes it safe to send the original again. If the retry budget
  // is spent or the statements are gone, a tombstone decides the outcome.
  if (rules_.onlyLooksUp)
    return AwaitPrimaryFrom(aTerm);
  const bool resend = rules_.canResend && aMayRetry;
  if (!rules_.usesLedger && !resend)
    return Finish(Outcome::Pending,
                  "no response from the database, and no retry is left");
  stepOnPrimary_ = resend ? WriteStep::SendOriginal : WriteStep::SendTombstone;
  return AwaitPrimaryFrom(aTerm);
}

WriteAction
WriteFlow::OnOk(const BatchResponse& aResponse)
{
  const LogPosition position =
    aResponse.report ? aResponse.report->log : LogPosition{};
  const bool isTombstone = step_ == WriteStep::SendTombstone;
  if (!isTombstone)
    mayHaveRun_ = true;
  return Confirm(position, isTombstone ? Outcome::NotRun : Outcome::Ok, false);
}

WriteAction
WriteFlow::OnStatementFailed(const BatchResponse& aResponse)
{
  if (step_ == WriteStep::SendTombstone)
    return AwaitPrimaryFrom(0);
  result_.reason = aResponse.reason;
  if (!mayHaveRun_)
    return Finish(Outcome::Failed, aResponse.reason);
  // An earlier attempt may have run under a successor of this primary, so the
  // failure is final only when this primary is known to be the latest.
  const LogPosition position =
    aResponse.report ? aResponse.report->log : LogPosition{};
  return Confirm(position, Outcome::Failed, true);
}

WriteAction
WriteFlow::OnLookUp(std::optional<LedgerRow> aRow, const LogPosition& aPosition)
{
  if (!aRow)
    return AwaitPrimaryFrom(0);
  result_.isReplayed = true;
  switch (*aRow) {
    case LedgerRow::Run:
      return Confirm(aPosition, Outcome::Ok, true);
    case LedgerRow::Tombstone:
      return Confirm(aPosition, Outcome::NotRun, true);
    case LedgerRow::Absent:
      // The row that caused the ledger hit is gone: it was truncated with the
      // log of a replaced primary.
      result_.isReplayed = false;
      if (rules_.onlyLooksUp)
        return Finish(Outcome::Pending,
                      "the primary has no ledger row for the request");
      return ResendOrClose(0, true);
  }
  return Finish(Outcome::Pending, "unknown ledger row");
}

WriteAction
WriteFlow::Confirm(const LogPosition& aPosition,
                   Outcome aOutcome,
                   bool aNeedsFreshReports)
{
  step_ = WriteStep::AwaitConfirmation;
  unconfirmedOutcome_ = aOutcome;
  result_.position = aPosition;
  return { step_, aPosition.term, aPosition, aNeedsFreshReports };
}

WriteAction
WriteFlow::OnConfirmed()
{
  const bool isTombstone = unconfirmedOutcome_ == Outcome::NotRun;
  return Finish(unconfirmedOutcome_,
                isTombstone
                  ? "the request did not run and won't run under this id"
                  : std::exchange(result_.reason, ""));
}

WriteAction
WriteFlow::OnReplaced()
{
  // Results under the old term are not valid under the new one.
  result_.isReplayed = false;
  return ResendOrClose(result_.position.term + 1, true);
}

WriteAction
WriteFlow::OnDeadline()
{
  const bool isPending =
    mayHaveRun_ || isInFlight_ || step_ == WriteStep::AwaitConfirmation;
  if (isPending)
    return Finish(Outcome::Pending, "not confirmed by the deadline");
  return Finish(Outcome::NotRun,
                "no primary accepted the request by the deadline");
}

WriteAction
WriteFlow::OnRefused(const std::string& aReason)
{
  return Finish(mayHaveRun_ ? Outcome::Pending : Outcome::NotRun, aReason);
}

WriteAction
WriteFlow::Finish(Outcome aOutcome, std::string aReason)
{
  step_ = WriteStep::Finish;
  result_.outcome = aOutcome;
  result_.reason = std::move(aReason);
  return { step_, term_, result_.position, false };
}

} // namespace Request
