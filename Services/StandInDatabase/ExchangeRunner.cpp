#include "ExchangeRunner.h"

#include <algorithm>
#include <utility>

namespace StandIn {

namespace {

boost::json::object
Status(std::string_view aStatus, std::string_view aReason)
{
  return { { "status", aStatus }, { "reason", aReason } };
}

boost::json::object
StatementFailure(std::size_t aIndex, const SqlResult& aResult)
{
  boost::json::object response = Status("statement_failed", aResult.reason);
  response["statement"] = aIndex;
  response["problem"] = kSqlProblemNames.NameOf(aResult.problem);
  return response;
}

} // namespace

ExchangeRunner::ExchangeRunner(Core::Loop& aLoop,
                               const DatabaseOptions& aOptions,
                               ReplicaState& aState,
                               SqlEngine& aEngine)
  : loop_(aLoop)
  , options_(aOptions)
  , state_(aState)
  , engine_(aEngine)
  , parser_(aEngine.Open())
{
}

void
ExchangeRunner::OnCommit(std::function<void()> aListener)
{
  commitListener_ = std::move(aListener);
}

void
ExchangeRunner::OpenClient(Wire::ConnectionNumber aConnection,
                           const std::string& aSender)
{
  Client& client = clients_[aConnection];
  client.session = engine_.Open();
  client.sender = aSender;
}

void
ExchangeRunner::CloseClient(Wire::ConnectionNumber aConnection)
{
  clients_.erase(aConnection);
  if (writer_ == aConnection)
    writer_ = 0;
  StartPending();
}

void
ExchangeRunner::AbortAll()
{
  // The next exchange of each client fails with "unknown_connection".
  clients_.clear();
  writer_ = 0;
  parser_ = engine_.Open();
  StartPending();
}

bool
ExchangeRunner::IsOpen(Wire::ConnectionNumber aConnection) const
{
  return clients_.contains(aConnection);
}

std::map<Wire::ConnectionNumber, std::string>
ExchangeRunner::OpenConnections() const
{
  std::map<Wire::ConnectionNumber, std::string> open;
  for (const auto& [connection, client] : clients_)
    open[connection] = client.sender;
  return open;
}

void
ExchangeRunner::Run(Wire::ConnectionNumber aConnection,
                    Exchange aExchange,
                    Core::Duration aExtraTime,
                    ExchangeCallback aCallback)
{
  PendingExchange pending;
  pending.connection = aConnection;
  pending.writes = !aExchange.readOnly &&
                   std::any_of(aExchange.statements.begin(),
                               aExchange.statements.end(),
                               [this](const SqlStatement& aStatement) {
                                 return parser_->IsWrite(aStatement.sql);
                               });
  pending.time =
    (pending.writes ? options_.writeTime : options_.readTime) + aExtraTime;
  pending.exchange = std::move(aExchange);
  pending.callback = std::move(aCallback);
  pending_.push_back(std::move(pending));
  StartPending();
}

void
ExchangeRunner::StartPending()
{
  auto next = pending_.begin();
  while (running_ < options_.slots && next != pending_.end()) {
    if (!MayStart(*next)) {
      ++next;
      continue;
    }
    PendingExchange ready = std::move(*next);
    pending_.erase(next);
    Start(std::move(ready));
    next = pending_.begin();
  }
}

bool
ExchangeRunner::MayStart(const PendingExchange& aPending) const
{
  return !aPending.writes || writer_ == 0 || writer_ == aPending.connection;
}

void
ExchangeRunner::Start(PendingExchange aPending)
{
  ++running_;
  if (aPending.writes)
    writer_ = aPending.connection;
  const Core::Duration time = aPending.time;
  loop_.DeferFor(time, [this, pending = std::move(aPending)] {
    boost::json::object response =
      Execute(pending.connection, pending.exchange);
    --running_;
    pending.callback(std::move(response));
    StartPending();
  });
}

boost::json::object
ExchangeRunner::Execute(Wire::ConnectionNumber aConnection,
                        const Exchange& aExchange)
{
  const auto found = clients_.find(aConnection);
  if (found == clients_.end()) {
    if (writer_ == aConnection)
      writer_ = 0;
    return Status("unknown_connection", "this connection was closed");
  }
  Client& client = found->second;
  if (auto rejection = Rejection(client, aExchange)) {
    EndTransaction(aConnection, client);
    return *rejection;
  }
  if (aExchange.rollback) {
    EndTransaction(aConnection, client);
    return Status("ok", "");
  }
  return RunStatements(aConnection, client, aExchange);
}

std::optional<boost::json::object>
ExchangeRunner::Rejection(const Client& aClient,
                          const Exchange& aExchange) const
{
  const bool inTransaction = aClient.session->InTransaction();
  if (aExchange.begin && inTransaction)
    return Status("bad_exchange", "a transaction is open already");
  if (!aExchange.begin && !inTransaction &&
      (aExchange.commit || aExchange.rollback))
    return Status("bad_exchange", "no transaction is open");
  if (aExchange.term != 0 && aExchange.term != state_.Meta().logTerm)
    return Status("wrong_term",
                  "the term of this log is " +
                    std::to_string(state_.Meta().logTerm));
  if (!aExchange.readOnly && !state_.IsPrimary())
    return Status(
      "not_primary",
      "this database is not the primary; send writes to the primary");
  return std::nullopt;
}

boost::json::object
ExchangeRunner::RunStatements(Wire::ConnectionNumber aConnection,
                              Client& aClient,
                              const Exchange& aExchange)
{
  if (aExchange.begin)
    aClient.session->Begin();
  boost::json::array results;
  for (std::size_t i = 0; i < aExchange.statements.size(); ++i) {
    const SqlStatement& statement = aExchange.statements[i];
    SqlResult result = aClient.session->Run(statement, aExchange.readOnly);
    if (result.problem != SqlProblem::None) {
      EndTransaction(aConnection, aClient);
      return StatementFailure(i, result);
    }
    if (result.wrote)
      aClient.written.push_back(statement);
    results.push_back(
      boost::json::object{ { "columns", std::move(result.columns) },
                           { "rows", std::move(result.rows) },
                           { "affected", result.affected } });
  }
  if (aExchange.commit && !Commit(aClient)) {
    EndTransaction(aConnection, aClient);
    return Status("statement_failed", "the commit failed");
  }
  if (!aClient.session->InTransaction())
    EndTransaction(aConnection, aClient);
  boost::json::object response = Status("ok", "");
  response["results"] = std::move(results);
  return response;
}

bool
ExchangeRunner::Commit(Client& aClient)
{
  if (!aClient.session->Commit())
    return false;
  if (aClient.written.empty())
    return true;
  state_.Append(EncodeStatements(aClient.written));
  if (commitListener_)
    commitListener_();
  return true;
}

void
ExchangeRunner::EndTransaction(Wire::ConnectionNumber aConnection,
                               Client& aClient)
{
  aClient.session->Rollback();
  aClient.written.clear();
  if (writer_ == aConnection)
    writer_ = 0;
}

} // namespace StandIn
