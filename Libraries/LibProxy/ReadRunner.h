#pragma once

#include <LibProxy/GroupHome.h>

namespace Proxy {

/**
 * Carries out one read: from a replica whose answer proves to satisfy the
 * session and the accepted age, or else from the primary. It owns itself
 * until the answer is given.
 */
class ReadRunner : public std::enable_shared_from_this<ReadRunner>
{
public:
  ReadRunner(GroupHome& aHome,
             Request::StatementRequest aRequest,
             Request::AnswerCallback aCallback);

  void Start();

private:
  void Choose();
  void AwaitChange();
  void Acquire(const std::string& aDatabase);
  void RunOn(const ConnectionHandle& aConnection);
  void TakeAnswer(const ConnectionHandle& aConnection,
                  Core::Instant aRequestedAt,
                  Endpoint::BatchAnswer aAnswer);
  void TakeRows(Endpoint::BatchAnswer& aAnswer);
  void TakePrimaryRows(const Endpoint::DatabaseReport& aReport);
  void ConfirmRead(const Session::LogPosition& aPosition);
  bool IsTokenImpossible(const Endpoint::DatabaseReport& aReport) const;
  void FinishOk(const Session::LogPosition& aPosition);
  void Finish(Request::Outcome aOutcome, std::string aReason);

  GroupHome& home_;
  Request::StatementRequest request_;
  Request::AnswerCallback callback_;
  Request::ReadNeeds needs_;
  Core::Instant startedAt_;
  Core::Instant deadline_;
  Core::TimerHandle deadlineTimer_;
  Core::TimerHandle retryTimer_;
  GroupHome::WaiterNumber waiter_ = 0;
  std::uint64_t ticket_ = 0;
  std::string database_;
  bool isPrimary_ = false;
  /** True once a replica's answer did not do, or none came. */
  bool primaryOnly_ = false;
  bool wasSent_ = false;
  bool isBadToken_ = false;
  Core::Duration retryAfter_{ 0 };
  std::optional<Core::Duration> age_;
  Endpoint::StatementResult result_;
};

} // namespace Proxy
