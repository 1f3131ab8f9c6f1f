#pragma once

#include <LibProxy/GroupHome.h>
#include <LibRequest/Ledger.h>
#include <LibRequest/WriteFlow.h>

namespace Proxy {

/**
 * Carries out one write: does what its WriteFlow decides, and tells the flow
 * what came of it. It owns itself until the answer is given.
 */
class WriteRunner : public std::enable_shared_from_this<WriteRunner>
{
public:
  WriteRunner(GroupHome& aHome,
              Request::StatementRequest aRequest,
              const Request::WriteRules& aRules,
              Request::AnswerCallback aCallback);

  /** Runs a write from its start. */
  void Start();

  /** Settles a request whose statements are gone, by its ledger row alone. */
  void StartSettling();

  /** Commits the transaction on aConnection, which is pinned at aGate. */
  void StartCommit(const std::string& aDatabase,
                   const ConnectionHandle& aConnection);

private:
  void ArmDeadline();
  void Do(const Request::WriteAction& aAction);
  void AwaitPrimary(Session::Term aLeast);
  void AwaitConfirmation(const Request::WriteAction& aAction);
  void Send(const Request::WriteAction& aAction);
  Endpoint::Batch BatchFor(const Request::WriteAction& aAction) const;
  void RunOn(const ConnectionHandle& aConnection,
             const Endpoint::Batch& aBatch);
  void TakeAnswer(const ConnectionHandle& aConnection,
                  Core::Instant aRequestedAt,
                  Endpoint::BatchAnswer aAnswer);
  void TakeLookUp(const Endpoint::BatchAnswer& aAnswer);
  void KeepResult(Endpoint::BatchAnswer& aAnswer);
  void OnRefused(Core::Duration aRetryAfter);
  void OnDeadline();
  void Finish();
  std::int64_t ExpiresAt() const;

  GroupHome& home_;
  Request::StatementRequest request_;
  Request::WriteFlow flow_;
  bool usesLedger_;
  Request::AnswerCallback callback_;
  Core::Instant deadline_;
  Core::TimerHandle deadlineTimer_;
  Core::TimerHandle retryTimer_;
  GroupHome::WaiterNumber waiter_ = 0;
  std::uint64_t ticket_ = 0;
  /** Where the present exchange runs. */
  std::string database_;
  Request::WriteStep step_ = Request::WriteStep::AwaitPrimary;
  bool isCommit_ = false;
  bool hasWaited_ = false;
  Core::Duration retryAfter_{ 0 };
  Endpoint::StatementResult result_;
};

} // namespace Proxy
