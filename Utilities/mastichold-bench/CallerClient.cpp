#include "CallerClient.h"

#include <LibWire/FieldReader.h>

#include <utility>

namespace Bench {

namespace {

constexpr std::int64_t kDefaultDeadlineMs = 5000;
/** Added to the deadline of a statement, to get the time-out of its call. */
constexpr Core::Duration kDeadlineMargin = std::chrono::milliseconds(1500);
constexpr Core::Duration kOperatorCallTimeout = std::chrono::seconds(5);

std::string
SerializeStatement(const CallerStatement& aStatement)
{
  boost::json::object body{ { "request_id", aStatement.requestId },
                            { "kind", aStatement.kind },
                            { "sql", aStatement.sql },
                            { "params", aStatement.parameters },
                            { "attempt", aStatement.attempt },
                            { "write", aStatement.isWrite } };
  if (!aStatement.token.empty())
    body["token"] = aStatement.token;
  if (aStatement.deadlineMs > 0)
    body["deadline_ms"] = aStatement.deadlineMs;
  if (aStatement.maxAgeMs >= 0)
    body["max_age_ms"] = aStatement.maxAgeMs;
  return boost::json::serialize(body);
}

CallerResponse
ParseResponse(const Wire::HttpOutcome& aOutcome)
{
  CallerResponse response;
  response.reason = Wire::kDeliveryNames.NameOf(aOutcome.delivery);
  if (aOutcome.delivery == Wire::Delivery::NotSent)
    response.end = CallEnd::NotRun;
  if (aOutcome.delivery != Wire::Delivery::Answered)
    return response;
  Core::Findings findings;
  const auto body = Wire::ParseObject(aOutcome.answer.body, findings);
  if (!body)
    return response;
  Wire::FieldReader reader(*body, findings);
  response.reason = reader.OptionalString("reason").value_or("");
  const auto outcome = reader.OptionalString("outcome");
  if (!outcome) {
    response.end = CallEnd::Bad;
    response.reason = reader.OptionalString("error").value_or("");
    return response;
  }
  response.end = kCallEndNames.ValueOf(*outcome).value_or(CallEnd::Lost);
  response.requestId = reader.OptionalString("request_id").value_or("");
  response.token = reader.OptionalString("token").value_or("");
  response.endpoint = reader.OptionalString("endpoint").value_or("");
  response.role = reader.OptionalString("role").value_or("");
  if (const auto* rows = reader.OptionalArray("rows"))
    response.rows = *rows;
  return response;
}

} // namespace

CallerClient::CallerClient(Core::Loop& aLoop, const Deployment& aDeployment)
  : loop_(aLoop)
  , deployment_(aDeployment)
  , client_(aLoop, "")
{
}

void
CallerClient::Send(std::size_t aNode,
                   const CallerStatement& aStatement,
                   CallerCallback aCallback)
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/groups/" + aStatement.group + "/statements";
  call.body = SerializeStatement(aStatement);
  call.timeout =
    std::chrono::milliseconds(aStatement.deadlineMs > 0 ? aStatement.deadlineMs
                                                        : kDefaultDeadlineMs) +
    kDeadlineMargin;
  client_.Call(deployment_.nodes[aNode].callers,
               call,
               [this, start = loop_.Now(), callback = std::move(aCallback)](
                 const Wire::HttpOutcome& aOutcome) {
                 CallerResponse response = ParseResponse(aOutcome);
                 response.time = loop_.Now() - start;
                 callback(std::move(response));
               });
}

void
CallerClient::Call(
  const Wire::Address& aAddress,
  Wire::HttpMethod aMethod,
  const std::string& aTarget,
  const boost::json::object& aBody,
  std::function<void(std::optional<boost::json::object>)> aCallback)
{
  Wire::HttpCall call;
  call.method = aMethod;
  call.target = aTarget;
  if (aMethod != Wire::HttpMethod::Get)
    call.body = boost::json::serialize(aBody);
  call.secret = deployment_.secret;
  call.timeout = kOperatorCallTimeout;
  client_.Call(
    aAddress,
    call,
    [callback = std::move(aCallback)](const Wire::HttpOutcome& aOutcome) {
      Core::Findings findings;
      callback(aOutcome.IsOk()
                 ? Wire::ParseObject(aOutcome.answer.body, findings)
                 : std::nullopt);
    });
}

} // namespace Bench
