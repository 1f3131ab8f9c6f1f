#include "TransactionTable.h"

#include "RunnerSupport.h"
#include "WriteRunner.h"

#include <utility>

namespace Proxy {

using Endpoint::BatchStatus;
using Request::Outcome;

namespace {

constexpr Core::Duration kIdleCheckPeriod = std::chrono::milliseconds(100);
constexpr int kTransactionIdDigits = 16;

TransactionResult
Refused(std::string aReason)
{
  TransactionResult answer;
  answer.reason = std::move(aReason);
  return answer;
}

} // namespace

TransactionTable::TransactionTable(HomeContext& aContext)
  : context_(aContext)
  , idleCheckTimer_(aContext.loop.Every(kIdleCheckPeriod,
                                        [this] { AbortIdleTransactions(); }))
{
}

void
TransactionTable::Begin(GroupHome& aHome,
                        const Request::StatementRequest& aRequest,
                        const TransactionCallback& aCallback)
{
  const auto primary = aHome.State().Primary();
  DatabasePool* pool = primary ? aHome.PoolOf(*primary) : nullptr;
  if (pool == nullptr) {
    aCallback(Refused("the group has no primary now"));
    return;
  }
  if (!pool->CanPin()) {
    aCallback(Refused("no connection available for another transaction"));
    return;
  }
  pool->Acquire(
    TicketOf(aHome, aRequest.kind, DeadlineOf(aHome, aRequest)),
    nullptr,
    [this, &aHome, aRequest, database = *primary, aCallback](
      const ConnectionHandle& aConnection) {
      BeginOn(aHome, aRequest, database, aConnection, aCallback);
    },
    [aCallback](Core::Duration) {
      aCallback(Refused("no database slot available before the deadline"));
    });
}

void
TransactionTable::BeginOn(GroupHome& aHome,
                          const Request::StatementRequest& aRequest,
                          const std::string& aDatabase,
                          const ConnectionHandle& aConnection,
                          const TransactionCallback& aCallback)
{
  const Core::Instant now = context_.loop.Now();
  if (!aConnection) {
    if (DatabasePool* pool = aHome.PoolOf(aDatabase))
      pool->Release(nullptr, now, false);
    aCallback(Refused("no connection to the primary could be opened"));
    return;
  }
  Endpoint::Batch batch;
  batch.term = aHome.State().HighestTerm();
  batch.begin = true;
  aConnection->Run(
    batch,
    aHome.Fleet().Milliseconds("requests.attempt_timeout_ms",
                               aHome.ScopeOf(aRequest.kind)),
    [this, &aHome, aRequest, aDatabase, aConnection, now, aCallback](
      const Endpoint::BatchResponse& aAnswer) {
      context_.loop.Defer([aConnection] {});
      HandleBeginReply(
        aHome, aRequest, aDatabase, aConnection, now, aAnswer, aCallback);
    });
}

void
TransactionTable::HandleBeginReply(GroupHome& aHome,
                                   const Request::StatementRequest& aRequest,
                                   const std::string& aDatabase,
                                   const ConnectionHandle& aConnection,
                                   Core::Instant aRequestedAt,
                                   const Endpoint::BatchResponse& aAnswer,
                                   const TransactionCallback& aCallback)
{
  const bool isOpen = aAnswer.status == BatchStatus::Ok;
  aHome.RecordReport(aDatabase, aAnswer.report, aRequestedAt);
  if (DatabasePool* pool = aHome.PoolOf(aDatabase))
    pool->Release(aConnection, aRequestedAt, isOpen);
  if (!isOpen) {
    aCallback(Refused(aAnswer.reason));
    return;
  }
  Transaction transaction;
  transaction.id =
    context_.nodeName + '.' + context_.random.Hex(kTransactionIdDigits);
  transaction.home = &aHome;
  transaction.database = aDatabase;
  transaction.connection = aConnection;
  transaction.lastUsed = context_.loop.Now();
  transaction.token = aRequest.token;
  transaction.kind = aRequest.kind;
  TransactionResult answer;
  answer.outcome = Outcome::Ok;
  answer.id = transaction.id;
  open_[transaction.id] = std::move(transaction);
  aCallback(std::move(answer));
}

void
TransactionTable::Run(const std::string& aId,
                      const Endpoint::Statement& aStatement,
                      Core::Duration aDeadline,
                      const TransactionCallback& aCallback)
{
  const auto found = open_.find(aId);
  if (found == open_.end()) {
    aCallback(
      Refused("the transaction is not open on this node; it is rolled back"));
    return;
  }
  Transaction& transaction = found->second;
  if (transaction.isBusy) {
    aCallback(
      Refused("another statement of this transaction is still running"));
    return;
  }
  DatabasePool* pool = transaction.home->PoolOf(transaction.database);
  if (pool == nullptr) {
    Abort(aId);
    aCallback(Refused("the database has left the group"));
    return;
  }
  transaction.isBusy = true;
  Endpoint::Batch batch;
  batch.statements = { aStatement };
  pool->Acquire(
    TicketOf(
      *transaction.home, transaction.kind, context_.loop.Now() + aDeadline),
    transaction.connection,
    [this, aId, batch, aDeadline, aCallback](
      const ConnectionHandle& aConnection) {
      aConnection->Run(
        batch,
        aDeadline,
        [this, aId, aConnection, now = context_.loop.Now(), aCallback](
          Endpoint::BatchResponse aAnswer) {
          context_.loop.Defer([aConnection] {});
          HandleStatementReply(
            aId, aConnection, now, std::move(aAnswer), aCallback);
        });
    },
    [this, aId, aCallback](Core::Duration) {
      Abort(aId);
      aCallback(Refused("no database slot available before the deadline; "
                        "the transaction is rolled back"));
    });
}

void
TransactionTable::HandleStatementReply(const std::string& aId,
                                       const ConnectionHandle& aConnection,
                                       Core::Instant aRequestedAt,
                                       Endpoint::BatchResponse aAnswer,
                                       const TransactionCallback& aCallback)
{
  const auto found = open_.find(aId);
  Transaction& transaction = found->second;
  transaction.home->RecordReport(
    transaction.database, aAnswer.report, aRequestedAt);
  const bool isOpen = aAnswer.status == BatchStatus::Ok;
  if (DatabasePool* pool = transaction.home->PoolOf(transaction.database))
    pool->Release(aConnection, aRequestedAt, isOpen);
  transaction.isBusy = false;
  transaction.lastUsed = context_.loop.Now();
  TransactionResult answer;
  answer.id = aId;
  answer.outcome = isOpen ? Outcome::Ok : Outcome::Failed;
  answer.reason =
    isOpen ? "" : aAnswer.reason + "; the transaction is rolled back";
  if (!aAnswer.results.empty())
    answer.result = std::move(aAnswer.results.front());
  if (!isOpen) {
    // Release has already returned the connection to the pool or closed it.
    open_.erase(found);
  }
  aCallback(std::move(answer));
}

void
TransactionTable::Rollback(const std::string& aId,
                           const TransactionCallback& aCallback)
{
  TransactionResult answer;
  answer.id = aId;
  answer.outcome = Outcome::Ok;
  const auto found = open_.find(aId);
  if (found != open_.end() && found->second.isBusy)
    answer = Refused("another statement of this transaction is still running");
  else if (found != open_.end())
    Abort(aId);
  aCallback(std::move(answer));
}

void
TransactionTable::Commit(GroupHome& aHome,
                         const std::string& aId,
                         Request::StatementRequest aRequest,
                         Request::ResponseCallback aCallback)
{
  Request::WriteRules rules;
  rules.isFirstAttempt = aRequest.attempt == 1;
  rules.canResend = false;
  const auto found = open_.find(aId);
  const bool isOpen = found != open_.end() && !found->second.isBusy;
  if (isOpen)
    aRequest.token = found->second.token;
  else
    // The commit may have run already; the ledger shows whether it did.
    rules.isFirstAttempt = false;
  auto runner = std::make_shared<WriteRunner>(
    aHome, std::move(aRequest), rules, std::move(aCallback));
  if (!isOpen) {
    runner->StartResolution();
    return;
  }
  const Transaction transaction = std::move(found->second);
  open_.erase(found);
  runner->StartCommit(transaction.database, transaction.connection);
}

void
TransactionTable::Abort(const std::string& aId)
{
  const auto found = open_.find(aId);
  if (found == open_.end())
    return;
  const Transaction transaction = std::move(found->second);
  open_.erase(found);
  // The database rolls back when its connection is closed.
  DatabasePool* pool = transaction.home->PoolOf(transaction.database);
  if (pool != nullptr)
    pool->ClosePinned(transaction.connection);
}

void
TransactionTable::AbortIdleTransactions()
{
  std::vector<std::string> idle;
  for (const auto& [id, transaction] : open_) {
    const Core::Duration limit = transaction.home->Fleet().Milliseconds(
      "transactions.idle_ms", transaction.home->ScopeOf(transaction.kind));
    if (!transaction.isBusy &&
        context_.loop.Now() - transaction.lastUsed > limit)
      idle.push_back(id);
  }
  for (const std::string& id : idle) {
    context_.metrics.Count("transactions_idle_total");
    Abort(id);
  }
}

} // namespace Proxy
