#include <LibRequest/RequestMessage.h>

#include <LibWire/FieldReader.h>

#include <limits>
#include <utility>

namespace Request {

namespace {

constexpr std::size_t kMaxRequestIdLength = 200;
constexpr std::int64_t kMaxAttempts = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxAgeMs = std::int64_t{ 30 } * 86'400'000;

std::optional<Core::Duration>
OptionalMilliseconds(Wire::FieldReader& aReader,
                     std::string_view aKey,
                     std::int64_t aMinimum,
                     std::int64_t aMaximum)
{
  const auto value = aReader.OptionalInteger(aKey, aMinimum, aMaximum);
  if (!value)
    return std::nullopt;
  return std::chrono::milliseconds(*value);
}

void
CheckParameters(const boost::json::array& aParameters,
                Core::Findings& aFindings)
{
  for (std::size_t i = 0; i < aParameters.size(); ++i) {
    if (aParameters[i].is_structured())
      aFindings.Add("/params/" + std::to_string(i),
                    "must be a string, a number, true, false or null");
  }
}

} // namespace

std::optional<StatementRequest>
StatementRequest::Parse(std::string_view aBody, Core::Findings& aFindings)
{
  const auto body = Wire::ParseObject(aBody, aFindings);
  if (!body)
    return std::nullopt;
  Wire::FieldReader reader(*body, aFindings);
  StatementRequest request;
  request.requestId = reader.String("request_id");
  if (request.requestId.size() > kMaxRequestIdLength)
    aFindings.Add("/request_id", "is longer than 200 characters");
  request.session = reader.OptionalString("session").value_or("");
  request.kind = reader.OptionalString("kind").value_or("");
  request.statement.sql = reader.String("sql");
  if (const auto* parameters = reader.OptionalArray("params")) {
    request.statement.parameters = *parameters;
    CheckParameters(*parameters, aFindings);
  }
  request.attempt =
    reader.OptionalInteger("attempt", 1, kMaxAttempts).value_or(1);
  request.isWrite = reader.Boolean("write", false);
  request.isRepeatable = reader.Boolean("repeatable", false);
  request.maxAge = OptionalMilliseconds(reader, "max_age_ms", 0, kMaxAgeMs);
  request.deadline =
    OptionalMilliseconds(reader, "deadline_ms", 1, kMaxDeadlineMs);
  if (auto text = reader.OptionalString("token")) {
    Core::LastReason reason;
    if (auto token = Session::SessionToken::Decode(*text, reason))
      request.token = std::move(*token);
    else
      aFindings.Add("/token", reason.Text());
  }
  reader.RejectUnknownFields();
  if (request.requestId.empty() && aFindings.IsEmpty())
    aFindings.Add("/request_id", "must not be empty");
  if (!aFindings.IsEmpty())
    return std::nullopt;
  return request;
}

boost::json::object
StatementResponse::ToJson() const
{
  boost::json::object body{ { "request_id", requestId },
                            { "outcome", kOutcomeNames.NameOf(outcome) } };
  if (outcome == Outcome::Ok) {
    body["columns"] = result.columns;
    body["rows"] = result.rows;
    body["affected"] = result.affected;
    if (isReplayed)
      body["replayed"] = true;
  }
  if (!token.IsEmpty())
    body["token"] = token.Encode();
  if (!endpoint.empty()) {
    body["endpoint"] = endpoint;
    body["role"] = isPrimary ? "primary" : "replica";
  }
  if (age)
    body["age_ms"] = Core::ToMilliseconds(*age);
  if (!reason.empty())
    body["reason"] = reason;
  return body;
}

} // namespace Request
