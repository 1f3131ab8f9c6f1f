#include "TransactionTable.h"

#include "RunnerSupport.h"
#include "WriteRunner.h"

#include <utility>

namespace Proxy {

using Endpoint::BatchStatus;
using Request::Outcome;

namespace {

constexpr Core::Duration kSweepPeriod = std::chrono::milliseconds(100);
constexpr int kIdDigits = 16;

TransactionAnswer
Refused(std::string aReason)
{
  TransactionAnswer answer;
  answer.reason = std::move(aReason);
  return answer;
}

} // namespace

TransactionTable::TransactionTable(HomeContext& aContext)
  : context_(aContext)
  , sweep_(aContext.loop.Every(kSweepPeriod, [this] { Sweep(); }))
{
}

void
TransactionTable::Begin(GroupHome& aHome,
                        const Request::StatementRequest& aRequest,
                        const TransactionCallback& aCallback)
{
  const auto primary = aHome.Book().Primary();
  DatabaseGate* gate = primary ? aHome.GateOf(*primary) : nullptr;
  if (gate == nullptr) {
    aCallback(Refused("the group has no primary now"));
    return;
  }
  if (!gate->MayPin()) {
    aCallback(Refused("no connection is left for another transaction"));
    return;
  }
  gate->Acquire(
    TicketOf(aHome, aRequest.kind, DeadlineOf(aHome, aRequest)),
    nullptr,
    [this, &aHome, aRequest, database = *primary, aCallback](
      const ConnectionHandle& aConnection) {
      BeginOn(aHome, aRequest, database, aConnection, aCallback);
    },
    [aCallback](Core::Duration) {
      aCallback(Refused("no slot by the deadline"));
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
    if (DatabaseGate* gate = aHome.GateOf(aDatabase))
      gate->Release(nullptr, now, false);
    aCallback(Refused("the primary can't be reached"));
    return;
  }
  Endpoint::Batch batch;
  batch.term = aHome.Book().HighestTerm();
  batch.begin = true;
  aConnection->Run(
    batch,
    aHome.Fleet().Milliseconds("requests.attempt_timeout_ms",
                               aHome.ScopeOf(aRequest.kind)),
    [this, &aHome, aRequest, aDatabase, aConnection, now, aCallback](
      const Endpoint::BatchAnswer& aAnswer) {
      context_.loop.Defer([aConnection] {});
      TakeBegin(
        aHome, aRequest, aDatabase, aConnection, now, aAnswer, aCallback);
    });
}

void
TransactionTable::TakeBegin(GroupHome& aHome,
                            const Request::StatementRequest& aRequest,
                            const std::string& aDatabase,
                            const ConnectionHandle& aConnection,
                            Core::Instant aRequestedAt,
                            const Endpoint::BatchAnswer& aAnswer,
                            const TransactionCallback& aCallback)
{
  const bool isOpen = aAnswer.status == BatchStatus::Ok;
  aHome.Take(aDatabase, aAnswer.report, aRequestedAt);
  if (DatabaseGate* gate = aHome.GateOf(aDatabase))
    gate->Release(aConnection, aRequestedAt, isOpen);
  if (!isOpen) {
    aCallback(Refused(aAnswer.reason));
    return;
  }
  Transaction transaction;
  transaction.id = context_.nodeName + '.' + context_.random.Hex(kIdDigits);
  transaction.home = &aHome;
  transaction.database = aDatabase;
  transaction.connection = aConnection;
  transaction.lastUsed = context_.loop.Now();
  transaction.token = aRequest.token;
  transaction.kind = aRequest.kind;
  TransactionAnswer answer;
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
    aCallback(Refused("the transaction is not open here; it is rolled back"));
    return;
  }
  Transaction& transaction = found->second;
  if (transaction.isBusy) {
    aCallback(Refused("a statement of this transaction is running"));
    return;
  }
  DatabaseGate* gate = transaction.home->GateOf(transaction.database);
  if (gate == nullptr) {
    Drop(aId);
    aCallback(Refused("the database has left the group"));
    return;
  }
  transaction.isBusy = true;
  Endpoint::Batch batch;
  batch.statements = { aStatement };
  gate->Acquire(
    TicketOf(
      *transaction.home, transaction.kind, context_.loop.Now() + aDeadline),
    transaction.connection,
    [this, aId, batch, aDeadline, aCallback](
      const ConnectionHandle& aConnection) {
      aConnection->Run(
        batch,
        aDeadline,
        [this, aId, aConnection, now = context_.loop.Now(), aCallback](
          Endpoint::BatchAnswer aAnswer) {
          context_.loop.Defer([aConnection] {});
          TakeStatement(aId, aConnection, now, std::move(aAnswer), aCallback);
        });
    },
    [this, aId, aCallback](Core::Duration) {
      Drop(aId);
      aCallback(Refused("no slot by the deadline; it is rolled back"));
    });
}

void
TransactionTable::TakeStatement(const std::string& aId,
                                const ConnectionHandle& aConnection,
                                Core::Instant aRequestedAt,
                                Endpoint::BatchAnswer aAnswer,
                                const TransactionCallback& aCallback)
{
  const auto found = open_.find(aId);
  Transaction& transaction = found->second;
  transaction.home->Take(transaction.database, aAnswer.report, aRequestedAt);
  const bool isOpen = aAnswer.status == BatchStatus::Ok;
  if (DatabaseGate* gate = transaction.home->GateOf(transaction.database))
    gate->Release(aConnection, aRequestedAt, isOpen);
  transaction.isBusy = false;
  transaction.lastUsed = context_.loop.Now();
  TransactionAnswer answer;
  answer.id = aId;
  answer.outcome = isOpen ? Outcome::Ok : Outcome::Failed;
  answer.reason =
    isOpen ? "" : aAnswer.reason + "; the transaction is rolled back";
  if (!aAnswer.results.empty())
    answer.result = std::move(aAnswer.results.front());
  if (!isOpen) {
    // The gate has taken the connection back, clean or closed.
    open_.erase(found);
  }
  aCallback(std::move(answer));
}

void
TransactionTable::Rollback(const std::string& aId,
                           const TransactionCallback& aCallback)
{
  TransactionAnswer answer;
  answer.id = aId;
  answer.outcome = Outcome::Ok;
  const auto found = open_.find(aId);
  if (found != open_.end() && found->second.isBusy)
    answer = Refused("a statement of this transaction is running");
  else if (found != open_.end())
    Drop(aId);
  aCallback(std::move(answer));
}

void
TransactionTable::Commit(GroupHome& aHome,
                         const std::string& aId,
                         Request::StatementRequest aRequest,
                         Request::AnswerCallback aCallback)
{
  Request::WriteRules rules;
  rules.isFirstAttempt = aRequest.attempt == 1;
  rules.canResend = false;
  const auto found = open_.find(aId);
  const bool isOpen = found != open_.end() && !found->second.isBusy;
  if (isOpen)
    aRequest.token = found->second.token;
  else
    // Whether its commit ran is for the ledger to say.
    rules.isFirstAttempt = false;
  auto runner = std::make_shared<WriteRunner>(
    aHome, std::move(aRequest), rules, std::move(aCallback));
  if (!isOpen) {
    runner->StartSettling();
    return;
  }
  const Transaction transaction = std::move(found->second);
  open_.erase(found);
  runner->StartCommit(transaction.database, transaction.connection);
}

void
TransactionTable::Drop(const std::string& aId)
{
  const auto found = open_.find(aId);
  if (found == open_.end())
    return;
  const Transaction transaction = std::move(found->second);
  open_.erase(found);
  // Closing the connection makes the database roll back.
  DatabaseGate* gate = transaction.home->GateOf(transaction.database);
  if (gate != nullptr)
    gate->DropPinned(transaction.connection);
}

void
TransactionTable::Sweep()
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
    Drop(id);
  }
}

} // namespace Proxy
