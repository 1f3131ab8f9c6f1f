#pragma once

#include <LibProxy/GroupHome.h>
#include <LibWire/HttpMessage.h>

#include <map>
#include <string>

namespace Proxy {

/** A caller's open transaction, which pins a connection. */
struct Transaction
{
  std::string id;
  GroupHome* home = nullptr;
  std::string database;
  ConnectionHandle connection;
  Core::Instant lastUsed;
  /** True while a statement is queued or running. */
  bool isBusy = false;
  Session::SessionToken token;
  std::string kind;
};

/** The result of an operation on a transaction, other than a commit. */
struct TransactionResult
{
  Request::Outcome outcome = Request::Outcome::NotRun;
  std::string id;
  std::string reason;
  Endpoint::StatementResult result;
};
using TransactionCallback = std::function<void(TransactionResult)>;

/** The open transactions on this node. */
class TransactionTable
{
public:
  explicit TransactionTable(HomeContext& aContext);

  /** Begins a transaction at the group's primary. */
  void Begin(GroupHome& aHome,
             const Request::StatementRequest& aRequest,
             const TransactionCallback& aCallback);

  /** Runs a statement in a transaction. If it fails, the transaction ends. */
  void Run(const std::string& aId,
           const Endpoint::Statement& aStatement,
           Core::Duration aDeadline,
           const TransactionCallback& aCallback);

  void Rollback(const std::string& aId, const TransactionCallback& aCallback);

  /**
   * Commits a transaction. If it is not open here, its commit may already have
   * run, so the outcome is resolved through the ledger by the request id.
   */
  void Commit(GroupHome& aHome,
              const std::string& aId,
              Request::StatementRequest aRequest,
              Request::ResponseCallback aCallback);

  std::size_t OpenCount() const { return open_.size(); }

private:
  void BeginOn(GroupHome& aHome,
               const Request::StatementRequest& aRequest,
               const std::string& aDatabase,
               const ConnectionHandle& aConnection,
               const TransactionCallback& aCallback);
  void HandleBeginReply(GroupHome& aHome,
                        const Request::StatementRequest& aRequest,
                        const std::string& aDatabase,
                        const ConnectionHandle& aConnection,
                        Core::Instant aRequestedAt,
                        const Endpoint::BatchResponse& aAnswer,
                        const TransactionCallback& aCallback);
  void HandleStatementReply(const std::string& aId,
                            const ConnectionHandle& aConnection,
                            Core::Instant aRequestedAt,
                            Endpoint::BatchResponse aAnswer,
                            const TransactionCallback& aCallback);
  /** Closes the connection, which rolls the transaction back. */
  void Abort(const std::string& aId);
  void AbortIdleTransactions();

  HomeContext& context_;
  std::map<std::string, Transaction> open_;
  Core::TimerHandle idleCheckTimer_;
};

} // namespace Proxy
