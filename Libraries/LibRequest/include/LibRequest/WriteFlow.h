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

/** What a write needs done next. */
enum class WriteStep
{
  /** Wait until the group has a primary of WriteAction::term or later. */
  AwaitPrimary,
  /** Run the request and its ledger row in one transaction. */
  SendOriginal,
  /** Commit a ledger row that says "not run", which a late original hits. */
  SendTombstone,
  /** Read the request's ledger row. */
  LookUp,
  /** Wait until a majority holds WriteAction::position. */
  AwaitConfirmation,
  /** Give the answer. */
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
  /** AwaitPrimary: the least term. Others: the term to run under. */
  Term term = 0;
  LogPosition position;
  /** AwaitConfirmation: count only answers asked for after now. */
  bool needsFreshAnswers = false;
};

/** A ledger row, as a look-up finds it. */
enum class LedgerRow
{
  Absent,
  /** The request ran. */
  Run,
  /** A tombstone: it has not run and can't any more. */
  Tombstone,
};

/** How a write came to be and what it may do. */
struct WriteRules
{
  /** False when the id may have been tried before, so that nothing is free. */
  bool isFirstAttempt = true;
  /** False for a write that may be repeated and keeps no ledger row. */
  bool usesLedger = true;
  /** False for a commit, whose statements are gone with its connection. */
  bool canResend = true;
  /** True when the ledger is only read: nothing is run or closed. */
  bool onlyLooksUp = false;
};

/** The end of a write. */
struct WriteResult
{
  Outcome outcome = Outcome::Pending;
  std::string reason;
  /** What the session must see: known when something ran. */
  LogPosition position;
  /** True when the ledger told the outcome. */
  bool isReplayed = false;
};

/**
 * The decisions of one write, from its start to its answer, as a state
 * machine without input or output: each event gives the next action.
 *
 * It answers Ok only for what a majority confirmed, NotRun only for what can
 * no longer run, and Pending for all between.
 */
class WriteFlow
{
public:
  explicit WriteFlow(const WriteRules& aRules);

  /** Starts; aPrimaryTerm is absent while the group has no primary. */
  WriteAction Start(std::optional<Term> aPrimaryTerm);

  /** A commit starts here: its statements are already on a connection. */
  WriteAction StartSent();

  /** Settles a request that can't be sent, by a tombstone or its row. */
  WriteAction StartSettling();

  /** The group has a primary of aTerm. */
  WriteAction OnPrimary(Term aTerm);

  /** What the last action sends is leaving: from here on it may run. */
  void OnSent() { isInFlight_ = true; }

  /**
   * The end of SendOriginal, SendTombstone or a commit. aIsLedgerHit tells
   * that the statement which failed was the ledger's, on its unique key.
   * aMayRetry is asked of the retry budget.
   */
  WriteAction OnBatch(const Endpoint::BatchAnswer& aAnswer,
                      bool aIsLedgerHit,
                      bool aMayRetry);

  /** The end of LookUp; aRow is absent when the answer is not known. */
  WriteAction OnLookUp(std::optional<LedgerRow> aRow,
                       const LogPosition& aPosition);

  /** A majority holds the position that was waited for. */
  WriteAction OnConfirmed();

  /** A majority has promised a later term than the one waited under. */
  WriteAction OnReplaced();

  /** Time is up. */
  WriteAction OnDeadline();

  /** Refused before it was sent, for aReason: overload or shutdown. */
  WriteAction OnRefused(const std::string& aReason);

  const WriteResult& Result() const { return result_; }

private:
  WriteAction AwaitPrimaryAfter(Term aTerm) const;
  WriteAction SendAgain(Term aTerm, bool aMayRetry);
  WriteAction Confirm(const LogPosition& aPosition,
                      Outcome aOutcome,
                      bool aNeedsFreshAnswers);
  WriteAction Finish(Outcome aOutcome, std::string aReason);
  WriteAction OnOk(const Endpoint::BatchAnswer& aAnswer);
  WriteAction OnStatementFailed(const Endpoint::BatchAnswer& aAnswer);

  WriteRules rules_;
  WriteStep step_ = WriteStep::AwaitPrimary;
  /** What to send as soon as there is a primary. */
  WriteStep next_ = WriteStep::SendOriginal;
  Term term_ = 0;
  /** True when the request may have run, or may still, somewhere. */
  bool mayHaveRun_;
  bool isInFlight_ = false;
  /** What the confirmation that is waited for will prove. */
  Outcome candidate_ = Outcome::Ok;
  WriteResult result_;
};

} // namespace Request
