#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibEndpoint/EndpointLink.h>
#include <LibRequest/RequestMessage.h>

#include <optional>
#include <string>

namespace Request {

using Session::LogPosition;
using Session::Term;

/** The next step of a write. */
enum class WriteStep
{
  /** Wait until the group has a primary of WriteAction::term or later. */
  AwaitPrimary,
  /** Run the request and its ledger row in one transaction. */
  SendOriginal,
  /**
   * Commit a tombstone, a ledger row that marks the request as not run. A
   * delayed original then fails on the row's unique key.
   */
  SendTombstone,
  /** Read the request's ledger row. */
  LookUp,
  /** Wait until a majority holds WriteAction::position. */
  AwaitConfirmation,
  /** Respond to the caller. */
  Finish,
};

inline constexpr Core::EnumNames<WriteStep, 6> kWriteStepNames{ {
  { { WriteStep::AwaitPrimary, "await_primary" },
    { WriteStep::SendOriginal, "send_original" },
    { WriteStep::SendTombstone, "send_tombstone" },
    { WriteStep::LookUp, "look_up" },
    { WriteStep::AwaitConfirmation, "await_confirmation" },
    { WriteStep::Finish, "finish" } },
} };

struct WriteAction
{
  WriteStep step = WriteStep::Finish;
  /** AwaitPrimary: the minimum term. Others: the term to run under. */
  Term term = 0;
  LogPosition position;
  /** AwaitConfirmation: count only reports requested from now on. */
  bool needsFreshReports = false;
};

/** The result of looking up a ledger row. */
enum class LedgerRow
{
  Absent,
  /** The request ran. */
  Run,
  /** A tombstone: the request has not run and can't run any more. */
  Tombstone,
};

/** The conditions of a write. */
struct WriteRules
{
  /** False if an earlier attempt with this id may have run. */
  bool isFirstAttempt = true;
  /** False for a write that may run twice and so has no ledger row. */
  bool usesLedger = true;
  /** False for a commit, whose statements were lost with its connection. */
  bool canResend = true;
  /** True if the ledger is only read: nothing runs, no tombstone is written. */
  bool onlyLooksUp = false;
};

/** The result of a write. */
struct WriteResult
{
  Outcome outcome = Outcome::Pending;
  std::string reason;
  /** The position that the session must see; set if something ran. */
  LogPosition position;
  /** True if the outcome was read from the ledger. */
  bool isReplayed = false;
};

/**
 * The state machine of one write, from its start to its response. It does no
 * input or output: each event returns the next action.
 *
 * The outcome is Ok only if a majority confirmed the write, NotRun only if it
 * can no longer run, Failed if the database refused it, and Pending otherwise.
 */
class WriteFlow
{
public:
  explicit WriteFlow(const WriteRules& aRules);

  /** Starts a write. aPrimaryTerm is absent while the group has no primary. */
  WriteAction Start(std::optional<Term> aPrimaryTerm);

  /** Starts a commit, whose statements have run on a connection. */
  WriteAction StartSent();

  /**
   * Starts to determine the outcome of a request that can't be sent, by a
   * tombstone or by its ledger row.
   */
  WriteAction StartResolution();

  /** The group has a primary, of aTerm. */
  WriteAction OnPrimary(Term aTerm);

  /** The batch of the last action is sent: from now on it may run. */
  void OnSent() { isInFlight_ = true; }

  /**
   * SendOriginal, SendTombstone or a commit has ended. aIsLedgerHit is true if
   * the ledger's own statement failed, on its unique key. aMayRetry is true if
   * the retry budget allows a retry.
   */
  WriteAction OnBatch(const Endpoint::BatchResponse& aResponse,
                      bool aIsLedgerHit,
                      bool aMayRetry);

  /** LookUp has ended. aRow is absent if there is no valid response. */
  WriteAction OnLookUp(std::optional<LedgerRow> aRow,
                       const LogPosition& aPosition);

  /** A majority holds the position of AwaitConfirmation. */
  WriteAction OnConfirmed();

  /** A majority has promised a later term than that of the position. */
  WriteAction OnReplaced();

  /** The deadline has passed. */
  WriteAction OnDeadline();

  /** Refused with aReason before it was sent: overload or shutdown. */
  WriteAction OnRefused(const std::string& aReason);

  const WriteResult& Result() const { return result_; }

private:
  /** Waits for a primary of aTerm or later. */
  WriteAction AwaitPrimaryFrom(Term aTerm) const;
  /** Sends the original again if allowed, else a tombstone. */
  WriteAction ResendOrClose(Term aTerm, bool aMayRetry);
  WriteAction Confirm(const LogPosition& aPosition,
                      Outcome aOutcome,
                      bool aNeedsFreshReports);
  WriteAction Finish(Outcome aOutcome, std::string aReason);
  WriteAction OnOk(const Endpoint::BatchResponse& aResponse);
  WriteAction OnStatementFailed(const Endpoint::BatchResponse& aResponse);

  WriteRules rules_;
  WriteStep step_ = WriteStep::AwaitPrimary;
  /** The step to take as soon as there is a primary. */
  WriteStep stepOnPrimary_ = WriteStep::SendOriginal;
  Term term_ = 0;
  /** True if the request may have run, or may still run, on a database. */
  bool mayHaveRun_;
  bool isInFlight_ = false;
  /** The outcome to report once AwaitConfirmation has succeeded. */
  Outcome unconfirmedOutcome_ = Outcome::Ok;
  WriteResult result_;
};

} // namespace Request
