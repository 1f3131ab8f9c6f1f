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
  boost::json::object answer = Status("statement_failed", aResult.reason);
  answer["statement"] = aIndex;
  answer["problem"] = kSqlProblemNames.NameOf(aResult.problem);
  return answer;
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
  StartWaiting();
}

void
ExchangeRunner::AbortAll()
{
  // Clients learn of it on their next exchange: their connection is unknown.
  clients_.clear();
  writer_ = 0;
  parser_ = engine_.Open();
  StartWaiting();
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
  Waiting waiting;
  waiting.connection = aConnection;
  waiting.writes = !aExchange.readOnly &&
                   std::any_of(aExchange.statements.begin(),
                               aExchange.statements.end(),
                               [this](const SqlStatement& aStatement) {
                                 return parser_->IsWrite(aStatement.sql);
                               });
  waiting.time =
    (waiting.writes ? options_.writeTime : options_.readTime) + aExtraTime;
  waiting.exchange = std::move(aExchange);
  waiting.callback = std::move(aCallback);
  waiting_.push_back(std::move(waiting));
  StartWaiting();
}

void
ExchangeRunner::StartWaiting()
{
  auto next = waiting_.begin();
  while (running_ < options_.slots && next != waiting_.end()) {
    if (!MayStart(*next)) {
      ++next;
      continue;
    }
    Waiting ready = std::move(*next);
    waiting_.erase(next);
    Start(std::move(ready));
    next = waiting_.begin();
  }
}

bool
ExchangeRunner::MayStart(const Waiting& aWaiting) const
{
  return !aWaiting.writes || writer_ == 0 || writer_ == aWaiting.connection;
}

void
ExchangeRunner::Start(Waiting aWaiting)
{
  ++running_;
  if (aWaiting.writes)
    writer_ = aWaiting.connection;
  const Core::Duration time = aWaiting.time;
  loop_.DeferFor(time, [this, waiting = std::move(aWaiting)] {
    boost::json::object answer = Execute(waiting.connection, waiting.exchange);
    --running_;
    waiting.callback(std::move(answer));
    StartWaiting();
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
  if (auto refusal = Refusal(client, aExchange)) {
    EndTransaction(aConnection, client);
    return *refusal;
  }
  if (aExchange.rollback) {
    EndTransaction(aConnection, client);
    return Status("ok", "");
  }
  return RunStatements(aConnection, client, aExchange);
}

std::optional<boost::json::object>
ExchangeRunner::Refusal(const Client& aClient, const Exchange& aExchange) const
{
  const bool inTransaction = aClient.session->InTransaction();
  if (aExchange.begin && inTransaction)
    return Status("bad_exchange", "a transaction is open already");
  if (!aExchange.begin && !inTransaction &&
      (aExchange.commit || aExchange.rollback))
    return Status("bad_exchange", "no transaction is open");
  if (aExchange.term != 0 && aExchange.term != state_.Meta().logTerm)
    return Status("wrong_term",
                  "this log is of term " +
                    std::to_string(state_.Meta().logTerm));
  if (!aExchange.readOnly && !state_.IsPrimary())
    return Status("not_primary", "writes go to the primary");
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
  boost::json::object answer = Status("ok", "");
  answer["results"] = std::move(results);
  return answer;
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
