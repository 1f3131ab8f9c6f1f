#include "FakeDatabase.h"

#include <utility>

namespace Simulation {

using Endpoint::Batch;
using Endpoint::BatchResponse;
using Endpoint::BatchStatus;

namespace {

constexpr std::size_t kMaxEntriesPerBatch = 50;
constexpr Core::Duration kPullDelay = std::chrono::milliseconds(2);
constexpr Core::Duration kPullTimeout = std::chrono::milliseconds(60);

BatchResponse
Failure(BatchStatus aStatus, const std::string& aReason)
{
  BatchResponse response;
  response.status = aStatus;
  response.reason = aReason;
  return response;
}

std::string
TextAt(const boost::json::array& aParameters, std::size_t aIndex)
{
  return std::string(aParameters[aIndex].as_string());
}

} // namespace

FakeDatabase::FakeDatabase(std::string aName,
                           VirtualTime& aTime,
                           Network& aNetwork,
                           DatabaseDirectory& aDirectory)
  : name_(std::move(aName))
  , time_(aTime)
  , network_(aNetwork)
  , directory_(aDirectory)
{
  StandIn::ReplicaMeta meta;
  meta.identity = name_ + ".1";
  state_ = std::make_unique<StandIn::ReplicaState>(
    meta, std::vector<StandIn::LogEntry>{}, *this);
  directory_[name_] = this;
}

void
FakeDatabase::Kill()
{
  isUp_ = false;
  time_.Kill();
  connections_.clear();
  changeWaiters_.clear();
  ++pullLoop_;
}

void
FakeDatabase::Restart(bool aLosesFile)
{
  if (isUp_ && !aLosesFile)
    return;
  Kill();
  StandIn::ReplicaMeta meta = state_->Meta();
  std::vector<StandIn::LogEntry> log = state_->Entries();
  if (aLosesFile) {
    meta = {};
    meta.identity = name_ + '.' + std::to_string(++identities_);
    meta.joining = true;
    log.clear();
  }
  state_ = std::make_unique<StandIn::ReplicaState>(meta, std::move(log), *this);
  isUp_ = true;
  Rebuild();
}

void
FakeDatabase::SilenceOpenConnections()
{
  for (const auto& [number, connection] : connections_)
    silent_.insert(number);
}

Endpoint::DatabaseReport
FakeDatabase::Report() const
{
  Endpoint::DatabaseReport report;
  report.identity = state_->Meta().identity;
  report.log = state_->Log();
  report.promised = state_->Meta().promised;
  report.owner = state_->Meta().owner;
  report.isPrimary = state_->IsPrimary();
  report.isJoining = state_->Meta().joining;
  report.identities = state_->Meta().identities;
  report.follows = state_->Primary();
  return report;
}

std::uint64_t
FakeDatabase::Connect()
{
  connections_[++lastConnection_] = {};
  return lastConnection_;
}

void
FakeDatabase::Close(std::uint64_t aConnection)
{
  connections_.erase(aConnection);
}

bool
FakeDatabase::IsSilent(std::uint64_t aConnection) const
{
  return silent_.contains(aConnection);
}

bool
FakeDatabase::MixUp(BatchResponse& aResponse)
{
  const bool isMixedUp = wrongResponses_ > 0;
  if (isMixedUp) {
    --wrongResponses_;
    std::swap(aResponse, lastResponse_);
  } else {
    lastResponse_ = aResponse;
  }
  return isMixedUp;
}

std::optional<BatchResponse>
FakeDatabase::CheckBatch(const Connection& aConnection, const Batch& aBatch)
{
  if (aBatch.begin && aConnection.inTransaction)
    return Failure(BatchStatus::Unknown, "a transaction is open");
  if (aBatch.term != 0 && aBatch.term != state_->Meta().logTerm)
    return Failure(BatchStatus::WrongTerm, "another term");
  if (!aBatch.readOnly && !state_->IsPrimary())
    return Failure(BatchStatus::NotPrimary, "not the primary");
  return std::nullopt;
}

BatchResponse
FakeDatabase::Run(std::uint64_t aConnection, const Batch& aBatch)
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end())
    return Failure(BatchStatus::UnknownConnection, "closed");
  Connection& connection = found->second;
  if (auto rejection = CheckBatch(connection, aBatch)) {
    connection = {};
    rejection->report = Report();
    return *rejection;
  }
  connection.inTransaction = connection.inTransaction || aBatch.begin;
  BatchResponse response;
  response.status = BatchStatus::Ok;
  for (std::size_t i = 0; i < aBatch.statements.size(); ++i) {
    auto result = RunOne(connection, aBatch.statements[i]);
    if (!result) {
      connection = {};
      response.status = BatchStatus::StatementFailed;
      response.failedStatement = i;
      response.isUniqueViolation = true;
      response.report = Report();
      return response;
    }
    response.results.push_back(std::move(*result));
  }
  if (aBatch.commit || aBatch.rollback) {
    const Statements written = std::move(connection.written);
    connection = {};
    if (aBatch.commit && !written.empty()) {
      state_->Append(StandIn::EncodeStatements(written));
      Apply(written);
      NotifyChange();
    }
  }
  response.report = Report();
  return response;
}

std::optional<Endpoint::StatementResult>
FakeDatabase::RunOne(Connection& aConnection,
                     const Endpoint::Statement& aStatement)
{
  Endpoint::StatementResult result;
  const auto& parameters = aStatement.parameters;
  if (aStatement.sql.starts_with("COUNT")) {
    const auto found = tags_.find(TextAt(parameters, 0));
    const std::int64_t count = found == tags_.end() ? 0 : found->second;
    result.rows.push_back(boost::json::array{ count, parameters[0] });
    return result;
  }
  if (aStatement.sql.starts_with("SELECT outcome")) {
    const auto found = ledger_.find(TextAt(parameters, 0));
    if (found != ledger_.end())
      result.rows.push_back(boost::json::array{ found->second, 1 });
    return result;
  }
  const bool isLedgerRow =
    aStatement.sql.starts_with("INSERT INTO mastichold_requests");
  if (isLedgerRow && ledger_.contains(TextAt(parameters, 0)))
    return std::nullopt;
  aConnection.written.push_back({ aStatement.sql, parameters });
  result.affected = 1;
  return result;
}

void
FakeDatabase::Apply(const Statements& aStatements)
{
  for (const StandIn::SqlStatement& statement : aStatements) {
    if (statement.sql.starts_with("PUT"))
      ++tags_[TextAt(statement.parameters, 0)];
    else if (statement.sql.starts_with("INSERT INTO mastichold_requests"))
      ledger_[TextAt(statement.parameters, 0)] =
        TextAt(statement.parameters, 1);
  }
}

void
FakeDatabase::Rebuild()
{
  tags_.clear();
  ledger_.clear();
  for (const StandIn::LogEntry& entry : state_->Entries())
    Apply(StandIn::DecodeStatements(entry.payload));
}

Endpoint::ControlResponse
FakeDatabase::Respond(bool aAccepted, const Core::LastReason& aReason) const
{
  return { aAccepted, aReason.Text(), Report() };
}

Endpoint::ControlResponse
FakeDatabase::Fence(const Endpoint::ControlOrder& aOrder)
{
  Core::LastReason reason;
  const bool accepted =
    state_->Fence(aOrder.term, aOrder.owner, aOrder.admits, reason);
  if (state_->Role() == StandIn::ReplicaRole::Fenced) {
    ++pullLoop_;
    connections_.clear();
  }
  NotifyChange();
  return Respond(accepted, reason);
}

Endpoint::ControlResponse
FakeDatabase::Promote(const Endpoint::ControlOrder& aOrder)
{
  Core::LastReason reason;
  const bool accepted = state_->Promote(aOrder.term, aOrder.owner, reason);
  NotifyChange();
  return Respond(accepted, reason);
}

Endpoint::ControlResponse
FakeDatabase::Follow(const Endpoint::ControlOrder& aOrder,
                     const std::string& aPrimary)
{
  Core::LastReason reason;
  const bool isNew = state_->Role() != StandIn::ReplicaRole::Follower ||
                     state_->Primary() != aPrimary ||
                     state_->Meta().promised != aOrder.term;
  const bool accepted =
    state_->Follow(aOrder.term, aOrder.owner, aPrimary, reason);
  if (accepted && isNew)
    StartFollowing();
  NotifyChange();
  return Respond(accepted, reason);
}

void
FakeDatabase::StartFollowing()
{
  connections_.clear();
  Pull(++pullLoop_);
}

void
FakeDatabase::Pull(int aPullLoop)
{
  if (aPullLoop != pullLoop_ ||
      state_->Role() != StandIn::ReplicaRole::Follower)
    return;
  const auto primary = directory_.find(state_->Primary());
  if (primary == directory_.end())
    return;
  StandIn::LogRequest request{ state_->Meta().promised,
                               state_->Log().position,
                               state_->TermAt(state_->Log().position) };
  FakeDatabase* source = primary->second;
  network_.Send(
    name_, source->name_, source->time_, [this, source, request, aPullLoop] {
      if (!source->isUp_)
        return;
      // On a log mismatch the real follower sends another request with an
      // earlier position. Here the retries run within one exchange.
      StandIn::LogRequest attempt = request;
      auto batch = source->state_->Serve(attempt, kMaxEntriesPerBatch);
      while (batch && !batch->matched) {
        attempt.afterPosition = batch->retryFrom;
        attempt.afterTerm = state_->TermAt(batch->retryFrom);
        batch = source->state_->Serve(attempt, kMaxEntriesPerBatch);
      }
      if (!batch)
        return;
      network_.Send(
        source->name_, name_, time_, [this, batch = *batch, aPullLoop] {
          time_.DeferFor(
            lag_, [this, batch, aPullLoop] { AcceptBatch(batch, aPullLoop); });
        });
    });
  // Retries after a timeout, so that a lost response does not end the loop.
  time_.DeferFor(lag_ + kPullTimeout, [this, aPullLoop, pull = ++pulls_] {
    if (pull == pulls_)
      Pull(aPullLoop);
  });
}

void
FakeDatabase::AcceptBatch(const StandIn::LogBatch& aBatch, int aPullLoop)
{
  if (aPullLoop != pullLoop_)
    return;
  const StandIn::AcceptResult result = state_->Accept(aBatch);
  if (result.cut) {
    connections_.clear();
    Rebuild();
  } else if (result.firstNew != 0) {
    for (std::uint64_t i = result.firstNew; i <= state_->Log().position; ++i)
      Apply(StandIn::DecodeStatements(state_->Entries()[i - 1].payload));
  }
  if (result.accepted)
    NotifyChange();
  if (!aBatch.entries.empty())
    time_.DeferFor(kPullDelay, [this, aPullLoop] { Pull(aPullLoop); });
}

void
FakeDatabase::AwaitChange(const std::optional<Endpoint::DatabaseReport>& aKnown,
                          Core::Duration aWait,
                          std::function<void()> aCallback)
{
  const bool isKnown = aKnown && aKnown->log == state_->Log() &&
                       aKnown->promised == state_->Meta().promised;
  if (!isKnown) {
    aCallback();
    return;
  }
  auto once = std::make_shared<std::function<void()>>(std::move(aCallback));
  const auto run = [once] {
    if (const auto callback = std::exchange(*once, nullptr))
      callback();
  };
  changeWaiters_.push_back(run);
  time_.DeferFor(aWait, run);
}

void
FakeDatabase::NotifyChange()
{
  std::list<std::function<void()>> waiters;
  waiters.swap(changeWaiters_);
  for (const auto& waiter : waiters)
    time_.DeferFor(Core::Duration::zero(), waiter);
}

} // namespace Simulation
