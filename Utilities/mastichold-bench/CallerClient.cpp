#include "CallerClient.h"

#include <LibWire/FieldReader.h>

#include <utility>

namespace Bench {

namespace {

constexpr std::int64_t kDefaultDeadlineMs = 5000;
/** A caller waits a little longer than the deadline that it gave. */
constexpr Core::Duration kPatience = std::chrono::milliseconds(1500);
constexpr Core::Duration kToolTimeout = std::chrono::seconds(5);

std::string
BodyOf(const CallerStatement& aStatement)
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

CallerAnswer
ReadAnswer(const Wire::HttpOutcome& aOutcome)
{
  CallerAnswer answer;
  answer.reason = Wire::kDeliveryNames.NameOf(aOutcome.delivery);
  if (aOutcome.delivery == Wire::Delivery::NotSent)
    answer.end = CallEnd::NotRun;
  if (aOutcome.delivery != Wire::Delivery::Answered)
    return answer;
  Core::Findings findings;
  const auto body = Wire::ParseObject(aOutcome.answer.body, findings);
  if (!body)
    return answer;
  Wire::FieldReader reader(*body, findings);
  answer.reason = reader.OptionalString("reason").value_or("");
  const auto outcome = reader.OptionalString("outcome");
  if (!outcome) {
    answer.end = CallEnd::Bad;
    answer.reason = reader.OptionalString("error").value_or("");
    return answer;
  }
  answer.end = kCallEndNames.ValueOf(*outcome).value_or(CallEnd::Lost);
  answer.requestId = reader.OptionalString("request_id").value_or("");
  answer.token = reader.OptionalString("token").value_or("");
  answer.endpoint = reader.OptionalString("endpoint").value_or("");
  answer.role = reader.OptionalString("role").value_or("");
  if (const auto* rows = reader.OptionalArray("rows"))
    answer.rows = *rows;
  return answer;
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
  call.body = BodyOf(aStatement);
  call.timeout =
    std::chrono::milliseconds(aStatement.deadlineMs > 0 ? aStatement.deadlineMs
                                                        : kDefaultDeadlineMs) +
    kPatience;
  client_.Call(deployment_.nodes[aNode].callers,
               call,
               [this, start = loop_.Now(), callback = std::move(aCallback)](
                 const Wire::HttpOutcome& aOutcome) {
                 CallerAnswer answer = ReadAnswer(aOutcome);
                 answer.time = loop_.Now() - start;
                 callback(std::move(answer));
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
  call.timeout = kToolTimeout;
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
