#include <LibRequest/WriteFlow.h>

#include <utility>

namespace Request {

using Endpoint::BatchAnswer;
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
    return AwaitPrimaryAfter(0);
  return OnPrimary(*aPrimaryTerm);
}

WriteAction
WriteFlow::StartSent()
{
  step_ = WriteStep::SendOriginal;
  next_ = WriteStep::SendTombstone;
  return { step_, term_, {}, false };
}

WriteAction
WriteFlow::StartSettling()
{
  next_ = rules_.onlyLooksUp ? WriteStep::LookUp : WriteStep::SendTombstone;
  return AwaitPrimaryAfter(0);
}

WriteAction
WriteFlow::OnPrimary(Term aTerm)
{
  term_ = aTerm;
  step_ = next_;
  return { step_, term_, {}, false };
}

WriteAction
WriteFlow::AwaitPrimaryAfter(Term aTerm) const
{
  return { WriteStep::AwaitPrimary, aTerm, {}, false };
}

WriteAction
WriteFlow::OnBatch(const BatchAnswer& aAnswer,
                   bool aIsLedgerHit,
                   bool aMayRetry)
{
  isInFlight_ = false;
  switch (aAnswer.status) {
    case BatchStatus::Ok:
      return OnOk(aAnswer);
    case BatchStatus::StatementFailed:
      if (aIsLedgerHit) {
        mayHaveRun_ = true;
        step_ = WriteStep::LookUp;
        next_ = WriteStep::LookUp;
        return { step_, term_, {}, false };
      }
      return OnStatementFailed(aAnswer);
    case BatchStatus::WrongTerm:
    case BatchStatus::NotPrimary:
      // The database refused it unrun; a primary of another term may take it.
      if (!rules_.canResend && step_ == WriteStep::SendOriginal)
        return Finish(mayHaveRun_ ? Outcome::Pending : Outcome::NotRun,
                      aAnswer.reason);
      return AwaitPrimaryAfter(term_);
    case BatchStatus::UnknownConnection:
    case BatchStatus::NotSent:
      if (!rules_.canResend && step_ == WriteStep::SendOriginal) {
        // The commit did not get through, and the transaction went with its
        // connection, so there is nothing left that could run.
        return Finish(mayHaveRun_ ? Outcome::Pending : Outcome::NotRun,
                      aAnswer.reason);
      }
      return AwaitPrimaryAfter(0);
    case BatchStatus::Unknown:
      mayHaveRun_ = true;
      return SendAgain(0, aMayRetry);
  }
  return Finish(Outcome::Pending, "unknown status");
}

WriteAction
WriteFlow::SendAgain(Term aTerm, bool aMayRetry)
{
  // The ledger makes the original safe to send again. Without a retry to
  // spend, or without statements to send, a tombstone settles it as surely.
  if (rules_.onlyLooksUp)
    return AwaitPrimaryAfter(aTerm);
  const bool resend = rules_.canResend && aMayRetry;
  if (!rules_.usesLedger && !resend)
    return Finish(Outcome::Pending, "no answer, and no retry is left");
  next_ = resend ? WriteStep::SendOriginal : WriteStep::SendTombstone;
  return AwaitPrimaryAfter(aTerm);
}

WriteAction
WriteFlow::OnOk(const BatchAnswer& aAnswer)
{
  const LogPosition position =
    aAnswer.report ? aAnswer.report->log : LogPosition{};
  const bool isTombstone = step_ == WriteStep::SendTombstone;
  if (!isTombstone)
    mayHaveRun_ = true;
  return Confirm(position, isTombstone ? Outcome::NotRun : Outcome::Ok, false);
}

WriteAction
WriteFlow::OnStatementFailed(const BatchAnswer& aAnswer)
{
  if (step_ == WriteStep::SendTombstone)
    return AwaitPrimaryAfter(0);
  result_.reason = aAnswer.reason;
  if (!mayHaveRun_)
    return Finish(Outcome::Failed, aAnswer.reason);
  // An earlier try may have run under a successor of this primary, so the
  // refusal counts only once this primary is known to be the latest.
  const LogPosition position =
    aAnswer.report ? aAnswer.report->log : LogPosition{};
  return Confirm(position, Outcome::Failed, true);
}

WriteAction
WriteFlow::OnLookUp(std::optional<LedgerRow> aRow, const LogPosition& aPosition)
{
  if (!aRow)
    return AwaitPrimaryAfter(0);
  result_.isReplayed = true;
  switch (*aRow) {
    case LedgerRow::Run:
      return Confirm(aPosition, Outcome::Ok, true);
    case LedgerRow::Tombstone:
      return Confirm(aPosition, Outcome::NotRun, true);
    case LedgerRow::Absent:
      // The row that was hit is gone: it was cut with a replaced log.
      result_.isReplayed = false;
      if (rules_.onlyLooksUp)
        return Finish(Outcome::Pending, "the primary has no record of it");
      return SendAgain(0, true);
  }
  return Finish(Outcome::Pending, "unknown ledger row");
}

WriteAction
WriteFlow::Confirm(const LogPosition& aPosition,
                   Outcome aOutcome,
                   bool aNeedsFreshAnswers)
{
  step_ = WriteStep::AwaitConfirmation;
  candidate_ = aOutcome;
  result_.position = aPosition;
  return { step_, aPosition.term, aPosition, aNeedsFreshAnswers };
}

WriteAction
WriteFlow::OnConfirmed()
{
  const bool isTombstone = candidate_ == Outcome::NotRun;
  return Finish(candidate_,
                isTombstone ? "it did not run and its id is closed"
                            : std::exchange(result_.reason, ""));
}

WriteAction
WriteFlow::OnReplaced()
{
  // What was seen under the old term proves nothing under the new one.
  result_.isReplayed = false;
  return SendAgain(result_.position.term + 1, true);
}

WriteAction
WriteFlow::OnDeadline()
{
  const bool isPending =
    mayHaveRun_ || isInFlight_ || step_ == WriteStep::AwaitConfirmation;
  if (isPending)
    return Finish(Outcome::Pending, "not confirmed by the deadline");
  return Finish(Outcome::NotRun, "no primary took it by the deadline");
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
