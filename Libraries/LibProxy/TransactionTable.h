#pragma once

#include <LibProxy/GroupHome.h>
#include <LibWire/HttpMessage.h>

#include <map>
#include <string>

namespace Proxy {

/** A caller's open transaction, on a connection of its own. */
struct Transaction
{
  std::string id;
  GroupHome* home = nullptr;
  std::string database;
  /** Null while one of its statements is running. */
  ConnectionHandle connection;
  Core::Instant lastUsed;
  bool isBusy = false;
  Session::SessionToken token;
  std::string kind;
};

/** What an operation on a transaction came to, short of a commit. */
struct TransactionAnswer
{
  Request::Outcome outcome = Request::Outcome::NotRun;
  std::string id;
  std::string reason;
  Endpoint::StatementResult result;
};
using TransactionCallback = std::function<void(TransactionAnswer)>;

/** The transactions that are open at this home. */
class TransactionTable
{
public:
  explicit TransactionTable(HomeContext& aContext);

  /** Opens a transaction on the group's primary. */
  void Begin(GroupHome& aHome,
             const Request::StatementRequest& aRequest,
             const TransactionCallback& aCallback);

  /** Runs a statement in it; when that fails the transaction is over. */
  void Run(const std::string& aId,
           const Endpoint::Statement& aStatement,
           Core::Duration aDeadline,
           const TransactionCallback& aCallback);

  void Rollback(const std::string& aId, const TransactionCallback& aCallback);

  /**
   * Commits it. A transaction that is gone is settled by its request id,
   * since its commit may have run.
   */
  void Commit(GroupHome& aHome,
              const std::string& aId,
              Request::StatementRequest aRequest,
              Request::AnswerCallback aCallback);

  std::size_t Open() const { return open_.size(); }

private:
  void BeginOn(GroupHome& aHome,
               const Request::StatementRequest& aRequest,
               const std::string& aDatabase,
               const ConnectionHandle& aConnection,
               const TransactionCallback& aCallback);
  void TakeBegin(GroupHome& aHome,
                 const Request::StatementRequest& aRequest,
                 const std::string& aDatabase,
                 const ConnectionHandle& aConnection,
                 Core::Instant aRequestedAt,
                 const Endpoint::BatchAnswer& aAnswer,
                 const TransactionCallback& aCallback);
  void TakeStatement(const std::string& aId,
                     const ConnectionHandle& aConnection,
                     Core::Instant aRequestedAt,
                     Endpoint::BatchAnswer aAnswer,
                     const TransactionCallback& aCallback);
  void Drop(const std::string& aId);
  void Sweep();

  HomeContext& context_;
  std::map<std::string, Transaction> open_;
  Core::TimerHandle sweep_;
};

} // namespace Proxy
