#pragma once

#include <LibProxy/GroupHome.h>

namespace Proxy {

/**
 * Runs one read. Returns the rows of a replica if its report shows that they
 * satisfy the session token and the accepted age, and otherwise reads from the
 * primary. Keeps itself alive until it has replied.
 */
class ReadRunner : public std::enable_shared_from_this<ReadRunner>
{
public:
  ReadRunner(GroupHome& aHome,
             Request::StatementRequest aRequest,
             Request::ResponseCallback aCallback);

  void Start();

private:
  void Choose();
  void AwaitPrimary();
  void Acquire(const std::string& aDatabase);
  void RunOn(const ConnectionHandle& aConnection);
  void HandleReply(const ConnectionHandle& aConnection,
                   Core::Instant aRequestedAt,
                   Endpoint::BatchResponse aAnswer);
  void HandleRows(Endpoint::BatchResponse& aAnswer);
  void HandlePrimaryRows(const Endpoint::DatabaseReport& aReport);
  void ConfirmRead(const Session::LogPosition& aPosition);
  bool IsTokenImpossible(const Endpoint::DatabaseReport& aReport) const;
  void FinishOk(const Session::LogPosition& aPosition);
  void Finish(Request::Outcome aOutcome, std::string aReason);

  GroupHome& home_;
  Request::StatementRequest request_;
  Request::ResponseCallback callback_;
  Request::ReadRequirements requirements_;
  Core::Instant startedAt_;
  Core::Instant deadline_;
  Core::TimerHandle deadlineTimer_;
  Core::TimerHandle retryTimer_;
  GroupHome::WaiterNumber waiter_ = 0;
  std::uint64_t ticket_ = 0;
  std::string database_;
  bool isPrimary_ = false;
  /** Set when a reply did not satisfy the requirements, or none arrived. */
  bool primaryOnly_ = false;
  bool wasSent_ = false;
  bool isInvalidToken_ = false;
  Core::Duration retryAfter_{ 0 };
  std::optional<Core::Duration> age_;
  Endpoint::StatementResult result_;
};

} // namespace Proxy
