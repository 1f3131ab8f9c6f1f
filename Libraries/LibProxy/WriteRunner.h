#pragma once

#include <LibProxy/GroupHome.h>
#include <LibRequest/Ledger.h>
#include <LibRequest/WriteFlow.h>

namespace Proxy {

/**
 * Runs one write: executes each action that its WriteFlow decides on and
 * reports the result back to the flow. Keeps itself alive until it has replied.
 */
class WriteRunner : public std::enable_shared_from_this<WriteRunner>
{
public:
  WriteRunner(GroupHome& aHome,
              Request::StatementRequest aRequest,
              const Request::WriteRules& aRules,
              Request::ResponseCallback aCallback);

  /** Starts a new write. */
  void Start();

  /**
   * Resolves the outcome of a request whose statements are no longer available,
   * using only its ledger row.
   */
  void StartResolution();

  /** Commits the transaction on aConnection, which is pinned at aDatabase. */
  void StartCommit(const std::string& aDatabase,
                   const ConnectionHandle& aConnection);

private:
  void ArmDeadline();
  void Execute(const Request::WriteAction& aAction);
  void AwaitPrimary(Session::Term aMinimumTerm);
  void AwaitConfirmation(const Request::WriteAction& aAction);
  void Send(const Request::WriteAction& aAction);
  Endpoint::Batch BatchFor(const Request::WriteAction& aAction) const;
  void RunOn(const ConnectionHandle& aConnection,
             const Endpoint::Batch& aBatch);
  void HandleReply(const ConnectionHandle& aConnection,
                   Core::Instant aRequestedAt,
                   Endpoint::BatchResponse aAnswer);
  void HandleLookUpReply(const Endpoint::BatchResponse& aAnswer);
  void StoreResult(Endpoint::BatchResponse& aAnswer);
  void OnRefused(Core::Duration aRetryAfter);
  void OnDeadline();
  void Finish();
  std::int64_t ExpiresAt() const;

  GroupHome& home_;
  Request::StatementRequest request_;
  Request::WriteFlow flow_;
  bool usesLedger_;
  Request::ResponseCallback callback_;
  Core::Instant deadline_;
  Core::TimerHandle deadlineTimer_;
  Core::TimerHandle retryTimer_;
  GroupHome::WaiterNumber waiter_ = 0;
  std::uint64_t ticket_ = 0;
  /** The database of the current batch. */
  std::string database_;
  Request::WriteStep step_ = Request::WriteStep::AwaitPrimary;
  bool isCommit_ = false;
  bool hasAwaitedPrimary_ = false;
  Core::Duration retryAfter_{ 0 };
  Endpoint::StatementResult result_;
};

} // namespace Proxy
