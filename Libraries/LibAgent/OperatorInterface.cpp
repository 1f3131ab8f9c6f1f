#include "OperatorInterface.h"

#include "PeerGossip.h"

#include <LibWire/FieldReader.h>
#include <LibWire/Secret.h>

#include <utility>

namespace Agent {

using Configuration::ChangeEnd;
using Wire::HttpMethod;
using Wire::HttpReplyHandle;
using Wire::HttpRequest;
using Wire::HttpResponse;
using Wire::HttpStatus;

namespace {

constexpr std::size_t kMaxAuditRecords = 500;

boost::json::array
ExceptionsToJson(const Settings::FleetSettings& aFleet)
{
  boost::json::array list;
  for (const Settings::SettingException& exception : aFleet.Exceptions())
    list.push_back(
      boost::json::object{ { "name", exception.name },
                           { "scope", Settings::ScopeToText(exception.scope) },
                           { "key", exception.key },
                           { "value", exception.value },
                           { "reason", exception.reason } });
  return list;
}

boost::json::array
SettingsToJson(const Settings::FleetSettings& aFleet)
{
  boost::json::array list;
  for (const Settings::SettingSpec& spec : Settings::FleetSettingsTable())
    list.push_back(boost::json::object{ { "name", spec.name },
                                        { "value", aFleet.Text(spec.name) },
                                        { "default", spec.standard },
                                        { "unit", spec.unit },
                                        { "doc", spec.doc } });
  return list;
}

HttpStatus
StatusOf(ChangeEnd aEnd)
{
  switch (aEnd) {
    case ChangeEnd::Accepted:
      return HttpStatus::Ok;
    case ChangeEnd::Conflict:
      return HttpStatus::Conflict;
    case ChangeEnd::Invalid:
      return HttpStatus::BadRequest;
    case ChangeEnd::Unavailable:
      return HttpStatus::ServiceUnavailable;
  }
  return HttpStatus::ServiceUnavailable;
}

} // namespace

OperatorInterface::OperatorInterface(
  Configuration::ConfigurationStore& aStore,
  PeerGossip& aGossip,
  std::string aSecret,
  std::function<boost::json::object()> aStatus)
  : store_(aStore)
  , gossip_(aGossip)
  , secret_(std::move(aSecret))
  , status_(std::move(aStatus))
{
}

void
OperatorInterface::AddRoutes(Wire::HttpServer& aServer)
{
  const auto route = [this, &aServer](HttpMethod aMethod,
                                      const std::string& aCommand,
                                      Wire::HttpHandler aHandler) {
    aServer.Route(
      aMethod,
      "/v1/operators/" + aCommand,
      [this, handler = std::move(aHandler)](const HttpRequest& aRequest,
                                            const HttpReplyHandle& aReply) {
        if (!Wire::IsBearerOf(aRequest.authorization, secret_)) {
          aReply->Send(
            HttpResponse::Error(HttpStatus::Unauthorized,
                                "the operators' secret is missing or wrong"));
          return;
        }
        handler(aRequest, aReply);
      });
  };
  route(HttpMethod::Get,
        "status",
        [this](const HttpRequest&, const HttpReplyHandle& aReply) {
          aReply->Send(HttpResponse::Json(HttpStatus::Ok, status_()));
        });
  route(HttpMethod::Get,
        "config",
        [this](const HttpRequest&, const HttpReplyHandle& aReply) {
          SendConfiguration(aReply);
        });
  route(HttpMethod::Post,
        "config",
        [this](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
          ChangeConfiguration(aRequest.body, aReply);
        });
  route(HttpMethod::Get,
        "audit",
        [this](const HttpRequest&, const HttpReplyHandle& aReply) {
          SendAuditRecords(aReply);
        });
}

void
OperatorInterface::SendConfiguration(const HttpReplyHandle& aReply) const
{
  aReply->Send(HttpResponse::Json(
    HttpStatus::Ok,
    boost::json::object{
      { "version", gossip_.Held().version },
      { "current", gossip_.IsCurrent() },
      { "text", gossip_.Held().text },
      { "settings", SettingsToJson(gossip_.Fleet()) },
      { "exceptions", ExceptionsToJson(gossip_.Fleet()) } }));
}

void
OperatorInterface::ChangeConfiguration(const std::string& aBody,
                                       const HttpReplyHandle& aReply)
{
  Core::Findings findings;
  const auto body = Wire::ParseObject(aBody, findings);
  const auto order =
    body ? Configuration::ChangeOrder::FromJson(*body, findings) : std::nullopt;
  if (!order) {
    aReply->Send(HttpResponse::Json(HttpStatus::BadRequest,
                                    Wire::FindingsToJson(findings)));
    return;
  }
  store_.Change(*order,
                [this, aReply](const Configuration::ChangeResult& aResult) {
                  SendChangeResult(aResult, aReply);
                });
}

void
OperatorInterface::SendChangeResult(const Configuration::ChangeResult& aResult,
                                    const HttpReplyHandle& aReply)
{
  if (aResult.end == ChangeEnd::Accepted)
    gossip_.ApplyConfiguration(aResult.configuration);
  boost::json::object body = aResult.findings.IsEmpty()
                               ? boost::json::object{}
                               : Wire::FindingsToJson(aResult.findings);
  body["end"] = Configuration::kChangeEndNames.NameOf(aResult.end);
  body["version"] = aResult.configuration.version;
  if (!aResult.reason.empty() && aResult.end != ChangeEnd::Accepted)
    body["error"] = aResult.reason;
  aReply->Send(HttpResponse::Json(StatusOf(aResult.end), body));
}

void
OperatorInterface::SendAuditRecords(const HttpReplyHandle& aReply)
{
  store_.Audit(
    kMaxAuditRecords,
    [aReply](const std::optional<std::vector<Platform::TableRow>>& aRows) {
      if (!aRows) {
        aReply->Send(HttpResponse::Error(HttpStatus::ServiceUnavailable,
                                         "the table service is unavailable"));
        return;
      }
      boost::json::array records;
      for (const Platform::TableRow& row : *aRows)
        records.push_back(row.value);
      aReply->Send(HttpResponse::Json(
        HttpStatus::Ok,
        boost::json::object{ { "records", std::move(records) } }));
    });
}

} // namespace Agent
