#include "CallerInterface.h"

#include "RunnerSupport.h"

#include <LibProxy/Statements.h>
#include <LibWire/FieldReader.h>
#include <LibWire/Secret.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Proxy {

using Request::Outcome;
using Request::StatementRequest;
using Wire::HttpMethod;
using Wire::HttpReplyHandle;
using Wire::HttpRequest;
using Wire::HttpResponse;
using Wire::HttpStatus;

namespace {

constexpr int kMaxRetryAfterSeconds = 30;

HttpStatus
StatusOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Ok:
    case Outcome::Failed:
      return HttpStatus::Ok;
    case Outcome::Pending:
      return HttpStatus::Accepted;
    case Outcome::NotRun:
      return HttpStatus::ServiceUnavailable;
  }
  return HttpStatus::ServiceUnavailable;
}

int
RetryAfterSeconds(Core::Duration aTime)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aTime).count() + 1;
  return static_cast<int>(std::min<long long>(seconds, kMaxRetryAfterSeconds));
}

/** Parses a body, with a placeholder for each missing aDefaultedFields. */
std::optional<StatementRequest>
ParsePartialBody(const HttpRequest& aRequest,
                 Core::Findings& aFindings,
                 std::initializer_list<const char*> aDefaultedFields)
{
  auto body =
    Wire::ParseObject(aRequest.body.empty() ? "{}" : aRequest.body, aFindings);
  if (!body)
    return std::nullopt;
  for (const char* field : aDefaultedFields) {
    if (!body->contains(field))
      (*body)[field] = "-";
  }
  return StatementRequest::Parse(boost::json::serialize(*body), aFindings);
}

long long
QueryNumber(const HttpRequest& aRequest, const char* aName)
{
  const auto found = aRequest.query.find(aName);
  return found == aRequest.query.end() ? 0 : std::atoll(found->second.c_str());
}

} // namespace

CallerInterface::CallerInterface(HomeContext& aContext,
                                 CallerHost& aHost,
                                 PeerRouter& aRouter,
                                 TransactionTable& aTransactions)
  : context_(aContext)
  , host_(aHost)
  , router_(aRouter)
  , transactions_(aTransactions)
{
}

std::vector<CallerInterface::RouteSpec>
CallerInterface::Routes()
{
  const std::string group = "/v1/groups/{group}";
  const std::string transaction = group + "/transactions/{id}";
  const auto readComplete = [](const HttpRequest& aRequest,
                               Core::Findings& aFindings) {
    return StatementRequest::Parse(aRequest.body, aFindings);
  };
  const auto readInTransaction = [](const HttpRequest& aRequest,
                                    Core::Findings& aFindings) {
    return ParsePartialBody(aRequest, aFindings, { "request_id" });
  };
  const auto readCommit = [](const HttpRequest& aRequest,
                             Core::Findings& aFindings) {
    return ParsePartialBody(aRequest, aFindings, { "sql" });
  };
  const auto readEmpty = [](const HttpRequest& aRequest,
                            Core::Findings& aFindings) {
    return ParsePartialBody(aRequest, aFindings, { "request_id", "sql" });
  };
  const auto readLookUp = [](const HttpRequest& aRequest, Core::Findings&) {
    StatementRequest request;
    request.requestId = aRequest.captures.back();
    return std::optional(request);
  };
  const auto bind = [this](void (CallerInterface::*aMethod)(
                      GroupHome&, const IncomingHandle&)) -> Action {
    return [this, aMethod](GroupHome& aHome, const IncomingHandle& aIncoming) {
      (this->*aMethod)(aHome, aIncoming);
    };
  };
  return {
    { HttpMethod::Post,
      group + "/statements",
      readComplete,
      bind(&CallerInterface::RunStatement) },
    { HttpMethod::Get,
      group + "/requests/{request}",
      readLookUp,
      bind(&CallerInterface::LookUp) },
    { HttpMethod::Post,
      group + "/transactions",
      readEmpty,
      bind(&CallerInterface::Begin) },
    { HttpMethod::Post,
      transaction + "/statements",
      readInTransaction,
      bind(&CallerInterface::RunInTransaction) },
    { HttpMethod::Post,
      transaction + "/commit",
      readCommit,
      bind(&CallerInterface::Commit) },
    { HttpMethod::Post,
      transaction + "/rollback",
      readEmpty,
      bind(&CallerInterface::Rollback) },
  };
}

void
CallerInterface::AddRoutes(Wire::HttpServer& aServer)
{
  for (const RouteSpec& spec : Routes()) {
    aServer.Route(
      spec.method,
      spec.pattern,
      [this, spec](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
        Handle(spec, aRequest, false, aReply);
      });
  }
}

void
CallerInterface::AddPeerRoutes(Wire::HttpServer& aServer,
                               const std::string& aSecret)
{
  for (const RouteSpec& spec : Routes()) {
    aServer.Route(
      spec.method,
      spec.pattern,
      [this, spec, aSecret](const HttpRequest& aRequest,
                            const HttpReplyHandle& aReply) {
        if (!Wire::IsBearerOf(aRequest.authorization, aSecret)) {
          aReply->Send(HttpResponse::Error(
            HttpStatus::Unauthorized, "the peers' secret is missing or wrong"));
          return;
        }
        Handle(spec, aRequest, true, aReply);
      });
  }
}

void
CallerInterface::Handle(const RouteSpec& aSpec,
                        const HttpRequest& aRequest,
                        bool aIsFromPeer,
                        const HttpReplyHandle& aReply)
{
  const IncomingHandle incoming = Read(aSpec, aRequest, aIsFromPeer, aReply);
  if (!incoming)
    return;
  const std::string notReadyReason = host_.NotReadyReason();
  if (!notReadyReason.empty()) {
    SendRefusal(incoming, notReadyReason);
    return;
  }
  if (host_.HomeOf(incoming->group) == nullptr) {
    aReply->Send(HttpResponse::Error(
      HttpStatus::NotFound, "unknown group \"" + incoming->group + '"'));
    return;
  }
  Dispatch(aSpec.run, incoming);
}

CallerInterface::IncomingHandle
CallerInterface::Read(const RouteSpec& aSpec,
                      const HttpRequest& aRequest,
                      bool aIsFromPeer,
                      const HttpReplyHandle& aReply)
{
  Core::Findings findings;
  auto request = aSpec.read(aRequest, findings);
  if (!request) {
    context_.metrics.Count("requests_bad_total");
    aReply->Send(HttpResponse::Json(HttpStatus::BadRequest,
                                    Wire::FindingsToJson(findings)));
    return nullptr;
  }
  auto incoming = std::make_shared<IncomingRequest>();
  incoming->group = aRequest.captures.front();
  if (aSpec.pattern.find("{id}") != std::string::npos)
    incoming->transaction = aRequest.captures[1];
  incoming->method = aRequest.method;
  incoming->path = aRequest.path;
  incoming->body = aRequest.body;
  incoming->isFromPeer = aIsFromPeer;
  incoming->request = std::move(*request);
  incoming->arrivedAt = context_.loop.Now();
  incoming->reply = aReply;
  if (aIsFromPeer)
    ApplyPeerParameters(aRequest, *incoming);
  return incoming;
}

void
CallerInterface::ApplyPeerParameters(const HttpRequest& aRequest,
                                     IncomingRequest& aIncoming)
{
  if (const long long within = QueryNumber(aRequest, "within_ms"); within > 0)
    aIncoming.request.deadline = std::chrono::milliseconds(within);
  if (QueryNumber(aRequest, "repeat") != 0)
    aIncoming.request.attempt =
      std::max<std::int64_t>(2, aIncoming.request.attempt);
}

void
CallerInterface::Dispatch(const Action& aRun, const IncomingHandle& aIncoming)
{
  if (aIncoming->isFromPeer)
    RunLocally(aRun, aIncoming);
  else
    ForwardToHome(aRun, aIncoming);
}

void
CallerInterface::ForwardToHome(const Action& aRun,
                               const IncomingHandle& aIncoming)
{
  RoutedRequest routed;
  routed.group = aIncoming->group;
  routed.method = aIncoming->method;
  routed.path = aIncoming->path;
  routed.body = aIncoming->body;
  routed.deadline =
    DeadlineOf(*host_.HomeOf(aIncoming->group), aIncoming->request);
  // The id of a transaction begins with the name of the node where it is open.
  const std::size_t dot = aIncoming->transaction.rfind('.');
  if (dot != std::string::npos)
    routed.firstNode = aIncoming->transaction.substr(0, dot);
  router_.Route(routed, [this, aRun, aIncoming](RouteResult aResult) {
    if (aResult.mayHaveRun)
      aIncoming->request.attempt =
        std::max<std::int64_t>(2, aIncoming->request.attempt);
    switch (aResult.outcome) {
      case RouteOutcome::Local:
        RunLocally(aRun, aIncoming);
        return;
      case RouteOutcome::Answered:
        context_.metrics.Count("requests_forwarded_total");
        aIncoming->reply->Send(std::move(aResult.answer));
        return;
      case RouteOutcome::Unanswered:
        SendRefusal(aIncoming, "no home node of the group responded");
        return;
    }
  });
}

void
CallerInterface::RunLocally(const Action& aRun, const IncomingHandle& aIncoming)
{
  GroupHome* home = host_.HomeOf(aIncoming->group);
  if (home == nullptr) {
    SendRefusal(aIncoming, "the group no longer exists");
    return;
  }
  aRun(*home, aIncoming);
}

void
CallerInterface::RunStatement(GroupHome& aHome, const IncomingHandle& aIncoming)
{
  Proxy::RunStatement(
    aHome,
    aIncoming->request,
    [this, aIncoming](const Request::StatementResponse& aAnswer) {
      SendReply(aIncoming, aAnswer);
    });
}

void
CallerInterface::LookUp(GroupHome& aHome, const IncomingHandle& aIncoming)
{
  LookUpRequest(aHome,
                aIncoming->request,
                [this, aIncoming](const Request::StatementResponse& aAnswer) {
                  SendReply(aIncoming, aAnswer);
                });
}

void
CallerInterface::Begin(GroupHome& aHome, const IncomingHandle& aIncoming)
{
  transactions_.Begin(aHome,
                      aIncoming->request,
                      [this, aIncoming](const TransactionResult& aAnswer) {
                        SendTransactionReply(aIncoming, aAnswer);
                      });
}

void
CallerInterface::RunInTransaction(GroupHome& aHome,
                                  const IncomingHandle& aIncoming)
{
  const Core::Duration deadline =
    DeadlineOf(aHome, aIncoming->request) - context_.loop.Now();
  transactions_.Run(aIncoming->transaction,
                    aIncoming->request.statement,
                    deadline,
                    [this, aIncoming](const TransactionResult& aAnswer) {
                      SendTransactionReply(aIncoming, aAnswer);
                    });
}

void
CallerInterface::Commit(GroupHome& aHome, const IncomingHandle& aIncoming)
{
  transactions_.Commit(
    aHome,
    aIncoming->transaction,
    aIncoming->request,
    [this, aIncoming](const Request::StatementResponse& aAnswer) {
      SendReply(aIncoming, aAnswer);
    });
}

void
CallerInterface::Rollback(GroupHome&, const IncomingHandle& aIncoming)
{
  transactions_.Rollback(aIncoming->transaction,
                         [this, aIncoming](const TransactionResult& aAnswer) {
                           SendTransactionReply(aIncoming, aAnswer);
                         });
}

void
CallerInterface::SendReply(const IncomingHandle& aIncoming,
                           const Request::StatementResponse& aAnswer)
{
  if (aAnswer.isBadRequest) {
    Core::Findings findings;
    findings.Add("/token", aAnswer.reason);
    aIncoming->reply->Send(HttpResponse::Json(HttpStatus::BadRequest,
                                              Wire::FindingsToJson(findings)));
    return;
  }
  const std::string name(Request::kOutcomeNames.NameOf(aAnswer.outcome));
  context_.metrics.Count("requests_total{outcome=\"" + name + "\"}");
  context_.metrics.Record(aIncoming->request.isWrite ? "write_time_seconds"
                                                     : "read_time_seconds",
                          context_.loop.Now() - aIncoming->arrivedAt);
  HttpResponse answer =
    HttpResponse::Json(StatusOf(aAnswer.outcome), aAnswer.ToJson());
  if (aAnswer.outcome == Outcome::NotRun)
    answer.retryAfterSeconds = RetryAfterSeconds(aAnswer.retryAfter);
  aIncoming->reply->Send(std::move(answer));
}

void
CallerInterface::SendTransactionReply(const IncomingHandle& aIncoming,
                                      const TransactionResult& aAnswer)
{
  boost::json::object body{
    { "outcome", Request::kOutcomeNames.NameOf(aAnswer.outcome) },
    { "transaction", aAnswer.id },
  };
  if (aAnswer.outcome == Outcome::Ok) {
    body["columns"] = aAnswer.result.columns;
    body["rows"] = aAnswer.result.rows;
    body["affected"] = aAnswer.result.affected;
  }
  if (!aAnswer.reason.empty())
    body["reason"] = aAnswer.reason;
  HttpResponse answer = HttpResponse::Json(StatusOf(aAnswer.outcome), body);
  if (aAnswer.outcome == Outcome::NotRun)
    answer.retryAfterSeconds = 1;
  aIncoming->reply->Send(std::move(answer));
}

void
CallerInterface::SendRefusal(const IncomingHandle& aIncoming,
                             const std::string& aReason)
{
  Request::StatementResponse answer;
  answer.requestId = aIncoming->request.requestId;
  // An earlier attempt may have run, so only a first attempt is known not to
  // have run.
  answer.outcome =
    aIncoming->request.attempt == 1 ? Outcome::NotRun : Outcome::Pending;
  answer.reason = aReason;
  answer.token = aIncoming->request.token;
  SendReply(aIncoming, answer);
}

} // namespace Proxy
