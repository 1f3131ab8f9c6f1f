#include <LibEndpoint/HttpEndpointLink.h>

#include "HttpEndpointConnection.h"

#include <LibWire/FieldReader.h>

#include <utility>

namespace Endpoint {

namespace {

std::optional<boost::json::object>
ReadBody(const Wire::HttpOutcome& aOutcome)
{
  if (!aOutcome.IsOk())
    return std::nullopt;
  Core::Findings findings;
  return Wire::ParseObject(aOutcome.answer.body, findings);
}

boost::json::object
OrderToJson(const ControlOrder& aOrder)
{
  boost::json::object body{ { "term", aOrder.term },
                            { "owner", aOrder.owner } };
  if (aOrder.admits.empty())
    return body;
  boost::json::object admits;
  for (const auto& [name, identity] : aOrder.admits)
    admits[name] = identity;
  body["admits"] = std::move(admits);
  return body;
}

std::string
StatusTarget(const StatusRequest& aRequest)
{
  std::string target = "/v1/control/status";
  if (!aRequest.known)
    return target;
  target += "?known_position=" + std::to_string(aRequest.known->log.position) +
            "&known_log_term=" + std::to_string(aRequest.known->log.term) +
            "&known_promised=" + std::to_string(aRequest.known->promised) +
            "&wait_ms=" + std::to_string(Core::ToMilliseconds(aRequest.wait));
  return target;
}

} // namespace

HttpEndpointLink::HttpEndpointLink(Core::Loop& aLoop,
                                   Wire::HttpClient& aClient,
                                   const Wire::Address& aAddress,
                                   std::string aSender)
  : loop_(aLoop)
  , client_(aClient)
  , address_(aAddress)
  , sender_(std::move(aSender))
{
}

std::unique_ptr<EndpointConnection>
HttpEndpointLink::NewConnection()
{
  return std::make_unique<HttpEndpointConnection>(loop_, address_, sender_);
}

void
HttpEndpointLink::RequestStatus(const StatusRequest& aRequest,
                                ReportCallback aCallback)
{
  Wire::HttpCall call;
  call.target = StatusTarget(aRequest);
  call.timeout = aRequest.wait + aRequest.timeout;
  client_.Call(
    address_,
    call,
    [callback = std::move(aCallback)](const Wire::HttpOutcome& aOutcome) {
      const auto body = ReadBody(aOutcome);
      callback(body ? ReportFromJson(*body) : std::nullopt);
    });
}

void
HttpEndpointLink::Order(const std::string& aCommand,
                        const boost::json::object& aBody,
                        Core::Duration aTimeout,
                        ControlCallback aCallback)
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/control/" + aCommand;
  call.body = boost::json::serialize(aBody);
  call.timeout = aTimeout;
  client_.Call(
    address_,
    call,
    [callback = std::move(aCallback)](const Wire::HttpOutcome& aOutcome) {
      const auto body = ReadBody(aOutcome);
      const auto report = body ? ReportFromJson(*body) : std::nullopt;
      if (!report) {
        callback(std::nullopt);
        return;
      }
      Core::Findings findings;
      Wire::FieldReader reader(*body, findings);
      callback(ControlResponse{ reader.Boolean("accepted", false),
                                reader.OptionalString("reason").value_or(""),
                                *report });
    });
}

void
HttpEndpointLink::Fence(const ControlOrder& aOrder,
                        Core::Duration aTimeout,
                        ControlCallback aCallback)
{
  Order("fence", OrderToJson(aOrder), aTimeout, std::move(aCallback));
}

void
HttpEndpointLink::Promote(const ControlOrder& aOrder,
                          Core::Duration aTimeout,
                          ControlCallback aCallback)
{
  Order("promote", OrderToJson(aOrder), aTimeout, std::move(aCallback));
}

void
HttpEndpointLink::Follow(const ControlOrder& aOrder,
                         const std::string& aName,
                         const std::string& aAddress,
                         Core::Duration aTimeout,
                         ControlCallback aCallback)
{
  boost::json::object body = OrderToJson(aOrder);
  body["primary"] = aName;
  body["address"] = aAddress;
  Order("follow", body, aTimeout, std::move(aCallback));
}

} // namespace Endpoint
