#include "Console.h"

#include <LibCore/Loop.h>
#include <LibWire/HttpClient.h>

#include <iostream>

namespace Console {

namespace {

constexpr Core::Duration kRequestTimeout = std::chrono::seconds(10);

} // namespace

std::optional<Wire::HttpResponse>
SendCommand(const Target& aTarget,
            Wire::HttpMethod aMethod,
            const std::string& aPath,
            const std::string& aBody)
{
  Core::Loop loop;
  Wire::HttpClient client(loop, "");
  for (const std::string& node : aTarget.nodes) {
    Core::LastReason reason;
    const auto address = Wire::Address::Parse(node, reason);
    if (!address) {
      std::cerr << "--node: " << reason.Text() << '\n';
      continue;
    }
    Wire::HttpCall call;
    call.method = aMethod;
    call.target = aPath;
    call.body = aBody;
    call.secret = aTarget.secret;
    call.timeout = kRequestTimeout;
    Wire::HttpOutcome outcome;
    client.Call(*address, call, [&](Wire::HttpOutcome aOutcome) {
      outcome = std::move(aOutcome);
      loop.Stop();
    });
    loop.Run();
    const bool isAgentUnreachable =
      outcome.answer.status == static_cast<int>(Wire::HttpStatus::BadGateway);
    if (outcome.delivery == Wire::Delivery::Answered && !isAgentUnreachable)
      return outcome.answer;
  }
  return std::nullopt;
}

std::string
ToCell(const boost::json::value& aValue)
{
  if (aValue.is_string())
    return std::string(aValue.get_string());
  if (aValue.is_null())
    return "-";
  return boost::json::serialize(aValue);
}

} // namespace Console
