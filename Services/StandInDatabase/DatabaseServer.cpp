#include "DatabaseServer.h"

#include "FaultyReply.h"

#include <LibCore/Log.h>
#include <LibCore/Random.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace StandIn {

namespace {

using Wire::HttpMethod;
using Wire::HttpReplyHandle;
using Wire::HttpRequest;
using Wire::HttpResponse;
using Wire::HttpStatus;

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kMaxEntriesPerBatch = 500;
constexpr Core::Duration kLogPollWait = std::chrono::milliseconds(400);
constexpr int kIdentityDigits = 16;

std::uint64_t
QueryNumber(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.query.find(aName);
  if (found == aRequest.query.end())
    return 0;
  return std::strtoull(found->second.c_str(), nullptr, 10);
}

std::vector<SqlStatement>
ReadStatements(const boost::json::array* aArray, Core::Findings& aFindings)
{
  std::vector<SqlStatement> statements;
  if (aArray == nullptr)
    return statements;
  for (std::size_t i = 0; i < aArray->size(); ++i) {
    const std::string place = "/statements/" + std::to_string(i);
    const boost::json::object* object = (*aArray)[i].if_object();
    if (object == nullptr) {
      aFindings.Add(place, "must be an object");
      continue;
    }
    Wire::FieldReader reader(*object, aFindings, place);
    SqlStatement statement;
    statement.sql = reader.String("sql");
    if (const auto* parameters = reader.OptionalArray("params"))
      statement.parameters = *parameters;
    statements.push_back(std::move(statement));
  }
  return statements;
}

IdentityMap
ReadIdentities(Wire::FieldReader& aReader)
{
  IdentityMap identities;
  const boost::json::object* object = aReader.OptionalObject("admits");
  if (object == nullptr)
    return identities;
  for (const auto& entry : *object) {
    if (entry.value().is_string())
      identities[std::string(entry.key())] = entry.value().get_string();
  }
  return identities;
}

boost::json::object
IdentitiesToJson(const IdentityMap& aIdentities)
{
  boost::json::object object;
  for (const auto& [name, identity] : aIdentities)
    object[name] = identity;
  return object;
}

} // namespace

DatabaseServer::DatabaseServer(Core::Loop& aLoop, DatabaseOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , server_(aLoop)
  , client_(aLoop, options_.name)
  , engine_(options_.directory + '/' + options_.name + ".data", options_.schema)
  , pollers_(aLoop)
{
}

std::optional<Wire::Address>
DatabaseServer::Start(Core::LastReason& aReason)
{
  if (!OpenFiles(aReason))
    return std::nullopt;
  runner_ = std::make_unique<ExchangeRunner>(loop_, options_, *state_, engine_);
  runner_->OnCommit([this] { pollers_.NotifyChange(); });
  follower_ = std::make_unique<LogFollower>(loop_, client_, *state_, faults_);
  follower_->OnBatch([this](const LogBatch& aBatch) { AcceptBatch(aBatch); });
  server_.OnConnectionClosed([this](Wire::ConnectionNumber aConnection) {
    runner_->CloseClient(aConnection);
  });
  server_.SetEmulatedLatency(options_.latency);
  AddRoutes();
  return server_.Listen(options_.listen, aReason);
}

bool
DatabaseServer::OpenFiles(Core::LastReason& aReason)
{
  LogFile::Contents contents =
    LogFile::Open(options_.directory + '/' + options_.name + ".log", file_);
  if (!contents.existed) {
    contents.meta.identity = Core::Random::FromSystem().Hex(kIdentityDigits);
    contents.meta.joining = !options_.isInitialMember;
    file_.SaveMeta(contents.meta);
  }
  state_ = std::make_unique<ReplicaState>(
    contents.meta, std::move(contents.log), file_);
  if (!engine_.Rebuild(aReason))
    return false;
  for (const LogEntry& entry : state_->Entries()) {
    if (!engine_.Apply(entry.payload, aReason))
      return false;
  }
  return true;
}

void
DatabaseServer::AddRoutes()
{
  Route(HttpMethod::Post,
        "/v1/connect",
        [this](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
          Connect(aRequest, aReply);
        });
  RouteJson("/v1/exchange",
            [this](const HttpRequest& aRequest,
                   Wire::FieldReader& aReader,
                   const HttpReplyHandle& aReply) {
              RunExchange(aRequest, aReader, aReply);
            });
  Route(HttpMethod::Get,
        "/v1/control/status",
        [this](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
          GetStatus(aRequest, aReply);
        });
  Route(HttpMethod::Get,
        "/v1/control/log",
        [this](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
          GetLog(aRequest, aReply);
        });
  RouteJson("/v1/control/fence",
            [this](const HttpRequest&,
                   Wire::FieldReader& aReader,
                   const HttpReplyHandle& aReply) { Fence(aReader, aReply); });
  RouteJson(
    "/v1/control/promote",
    [this](const HttpRequest&,
           Wire::FieldReader& aReader,
           const HttpReplyHandle& aReply) { Promote(aReader, aReply); });
  RouteJson("/v1/control/follow",
            [this](const HttpRequest&,
                   Wire::FieldReader& aReader,
                   const HttpReplyHandle& aReply) { Follow(aReader, aReply); });
  server_.Route(
    HttpMethod::Post,
    "/faults",
    [this](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
      SetFaults(aRequest, aReply);
    });
}

void
DatabaseServer::Route(HttpMethod aMethod,
                      const std::string& aPattern,
                      Wire::HttpHandler aHandler)
{
  server_.Route(
    aMethod,
    aPattern,
    [this, handler = std::move(aHandler)](const HttpRequest& aRequest,
                                          const HttpReplyHandle& aReply) {
      if (faults_.DropsRequest(aRequest.sender, aRequest.connection))
        return;
      handler(aRequest,
              std::make_shared<FaultyReply>(
                faults_, aRequest.sender, aRequest.connection, aReply));
    });
}

void
DatabaseServer::RouteJson(const std::string& aPattern, JsonHandler aHandler)
{
  Route(HttpMethod::Post,
        aPattern,
        [handler = std::move(aHandler)](const HttpRequest& aRequest,
                                        const HttpReplyHandle& aReply) {
          Core::Findings findings;
          const auto body = Wire::ParseObject(aRequest.body, findings);
          if (body) {
            Wire::FieldReader reader(*body, findings);
            handler(aRequest, reader, aReply);
          }
          if (!findings.IsEmpty())
            aReply->Send(HttpResponse::Json(HttpStatus::BadRequest,
                                            Wire::FindingsToJson(findings)));
        });
}

void
DatabaseServer::Connect(const HttpRequest& aRequest,
                        const HttpReplyHandle& aReply)
{
  if (runner_->Clients() + connecting_ >= options_.connections) {
    aReply->Send(HttpResponse::Error(HttpStatus::ServiceUnavailable,
                                     "too many connections"));
    return;
  }
  ++connecting_;
  loop_.DeferFor(
    options_.connectTime,
    [this, connection = aRequest.connection, sender = aRequest.sender, aReply] {
      --connecting_;
      // A client that disconnected meanwhile gets no second close event, so it
      // would never be removed.
      if (!server_.IsOpen(connection))
        return;
      runner_->OpenClient(connection, sender);
      aReply->Send(HttpResponse::Json(
        HttpStatus::Ok, boost::json::object{ { "database", options_.name } }));
    });
}

void
DatabaseServer::RunExchange(const HttpRequest& aRequest,
                            Wire::FieldReader& aReader,
                            const HttpReplyHandle& aReply)
{
  Exchange exchange;
  Core::Findings findings;
  exchange.number =
    static_cast<std::uint64_t>(aReader.Integer("exchange", 0, kMaxInt64));
  exchange.term = static_cast<Term>(
    aReader.OptionalInteger("term", 0, kMaxInt64).value_or(0));
  exchange.begin = aReader.Boolean("begin", false);
  exchange.commit = aReader.Boolean("commit", false);
  exchange.rollback = aReader.Boolean("rollback", false);
  exchange.readOnly = aReader.Boolean("read_only", false);
  exchange.statements =
    ReadStatements(aReader.OptionalArray("statements"), findings);
  if (!findings.IsEmpty()) {
    aReply->Send(HttpResponse::Json(HttpStatus::BadRequest,
                                    Wire::FindingsToJson(findings)));
    return;
  }
  const std::uint64_t number = exchange.number;
  runner_->Run(aRequest.connection,
               std::move(exchange),
               faults_.ExecutionDelay(),
               [this, aRequest, number, aReply](boost::json::object aResponse) {
                 ReplyToExchange(
                   aRequest, number, std::move(aResponse), aReply);
               });
}

void
DatabaseServer::ReplyToExchange(const HttpRequest& aRequest,
                                std::uint64_t aNumber,
                                boost::json::object aResponse,
                                const HttpReplyHandle& aReply)
{
  const boost::json::object report = Report();
  for (const auto& field : report)
    aResponse[field.key()] = field.value();
  aResponse["exchange"] = aNumber;
  HttpResponse response = HttpResponse::Json(HttpStatus::Ok, aResponse);
  std::string ownReply = response.body;
  if (faults_.ConsumeWrongReply() && !lastExchangeReply_.empty())
    response.body = lastExchangeReply_;
  lastExchangeReply_ = std::move(ownReply);
  // A connection that closed while its statement ran has no client any more.
  if (!runner_->IsOpen(aRequest.connection))
    lastExchangeReply_.clear();
  if (faults_.ReplyDelay() == Core::Duration::zero()) {
    aReply->Send(std::move(response));
    return;
  }
  loop_.DeferFor(faults_.ReplyDelay(),
                 [aReply, response] { aReply->Send(response); });
}

boost::json::object
DatabaseServer::Report() const
{
  const LogPosition log = state_->Log();
  const ReplicaMeta& meta = state_->Meta();
  return { { "database", options_.name },
           { "identity", meta.identity },
           { "role", kReplicaRoleNames.NameOf(state_->Role()) },
           { "promised", meta.promised },
           { "owner", meta.owner },
           { "log_term", log.term },
           { "position", log.position },
           { "joining", meta.joining },
           { "identities", IdentitiesToJson(meta.identities) },
           { "primary", state_->Primary() },
           { "connections", runner_->Clients() } };
}

void
DatabaseServer::GetStatus(const HttpRequest& aRequest,
                          const HttpReplyHandle& aReply)
{
  const std::uint64_t position = QueryNumber(aRequest, "known_position");
  const Term logTerm = QueryNumber(aRequest, "known_log_term");
  const Term promised = QueryNumber(aRequest, "known_promised");
  const Core::Duration wait =
    std::chrono::milliseconds(QueryNumber(aRequest, "wait_ms"));
  const auto report = [this] {
    return HttpResponse::Json(HttpStatus::Ok, Report());
  };
  pollers_.ReplyOnChange(
    wait,
    aReply,
    [this, position, logTerm, promised, report]()
      -> std::optional<HttpResponse> {
      const bool isKnown = state_->Log() == LogPosition{ logTerm, position } &&
                           state_->Meta().promised == promised;
      if (isKnown)
        return std::nullopt;
      return report();
    },
    report);
}

void
DatabaseServer::GetLog(const HttpRequest& aRequest,
                       const HttpReplyHandle& aReply)
{
  LogRequest logRequest;
  logRequest.term = QueryNumber(aRequest, "term");
  logRequest.afterPosition = QueryNumber(aRequest, "after_position");
  logRequest.afterTerm = QueryNumber(aRequest, "after_term");
  const auto response = [this, logRequest] {
    const auto batch = state_->Serve(logRequest, kMaxEntriesPerBatch);
    if (!batch)
      return HttpResponse::Error(
        HttpStatus::Conflict,
        "this database is not the primary of the requested term");
    return HttpResponse::Json(HttpStatus::Ok, BatchToJson(*batch));
  };
  // The first request of a follower gets an immediate response, so that it
  // learns the log position at which the term began even if it is up to date.
  const bool isFirst = QueryNumber(aRequest, "first") != 0;
  pollers_.ReplyOnChange(
    isFirst ? Core::Duration::zero() : kLogPollWait,
    aReply,
    [this, logRequest, response]() -> std::optional<HttpResponse> {
      const bool hasChanges =
        logRequest.afterPosition != state_->Log().position ||
        logRequest.term != state_->Meta().promised || !state_->IsPrimary();
      if (!hasChanges)
        return std::nullopt;
      return response();
    },
    response);
}

HttpResponse
DatabaseServer::ControlResponse(bool aAccepted,
                                const Core::LastReason& aReason) const
{
  boost::json::object body = Report();
  body["accepted"] = aAccepted;
  body["reason"] = aAccepted ? "" : aReason.Text();
  return HttpResponse::Json(HttpStatus::Ok, body);
}

void
DatabaseServer::Fence(Wire::FieldReader& aReader, const HttpReplyHandle& aReply)
{
  const auto term = static_cast<Term>(aReader.Integer("term", 1, kMaxInt64));
  const std::string owner = aReader.String("owner");
  const bool wasPrimary = state_->IsPrimary();
  Core::LastReason reason;
  const bool accepted =
    state_->Fence(term, owner, ReadIdentities(aReader), reason);
  if (state_->Role() == ReplicaRole::Fenced)
    follower_->Stop();
  if (wasPrimary && !state_->IsPrimary()) {
    Core::LogChange("fenced as primary", { { "term", term } });
    runner_->AbortAll();
  }
  pollers_.NotifyChange();
  aReply->Send(ControlResponse(accepted, reason));
}

void
DatabaseServer::Promote(Wire::FieldReader& aReader,
                        const HttpReplyHandle& aReply)
{
  const auto term = static_cast<Term>(aReader.Integer("term", 1, kMaxInt64));
  const std::string owner = aReader.String("owner");
  Core::LastReason reason;
  const bool accepted = state_->Promote(term, owner, reason);
  if (accepted)
    Core::LogChange("primary", { { "term", term } });
  pollers_.NotifyChange();
  aReply->Send(ControlResponse(accepted, reason));
}

void
DatabaseServer::Follow(Wire::FieldReader& aReader,
                       const HttpReplyHandle& aReply)
{
  const auto term = static_cast<Term>(aReader.Integer("term", 1, kMaxInt64));
  const std::string owner = aReader.String("owner");
  const std::string primary = aReader.String("primary");
  const std::string addressText = aReader.String("address");
  Core::LastReason reason;
  const auto address = Wire::Address::Parse(addressText, reason);
  if (!address) {
    aReply->Send(HttpResponse::Error(HttpStatus::BadRequest, reason.Text()));
    return;
  }
  const bool isNew = state_->Role() != ReplicaRole::Follower ||
                     state_->Primary() != primary ||
                     state_->Meta().promised != term;
  const bool accepted = state_->Follow(term, owner, primary, reason);
  if (accepted && isNew) {
    Core::LogChange("follows", { { "term", term }, { "primary", primary } });
    // A primary that became a follower must not commit its open transactions.
    runner_->AbortAll();
    follower_->Start(*address);
  }
  pollers_.NotifyChange();
  aReply->Send(ControlResponse(accepted, reason));
}

void
DatabaseServer::AcceptBatch(const LogBatch& aBatch)
{
  const AcceptResult result = state_->Accept(aBatch);
  if (!result.accepted)
    return;
  if (result.cut) {
    RebuildData();
  } else if (result.firstNew != 0) {
    Core::LastReason reason;
    for (std::uint64_t i = result.firstNew; i <= state_->Log().position; ++i)
      engine_.Apply(state_->Entries()[i - 1].payload, reason);
  }
  pollers_.NotifyChange();
}

void
DatabaseServer::RebuildData()
{
  Core::LogChange("cut its divergent tail",
                  { { "position", state_->Log().position } });
  runner_->AbortAll();
  Core::LastReason reason;
  engine_.Rebuild(reason);
  for (const LogEntry& entry : state_->Entries())
    engine_.Apply(entry.payload, reason);
  runner_->AbortAll();
}

void
DatabaseServer::SetFaults(const HttpRequest& aRequest,
                          const HttpReplyHandle& aReply)
{
  Core::Findings findings;
  faults_.Set(aRequest.body, runner_->OpenConnections(), findings);
  if (!findings.IsEmpty()) {
    aReply->Send(HttpResponse::Json(HttpStatus::BadRequest,
                                    Wire::FindingsToJson(findings)));
    return;
  }
  aReply->Send(HttpResponse::Json(HttpStatus::Ok, Report()));
}

} // namespace StandIn
