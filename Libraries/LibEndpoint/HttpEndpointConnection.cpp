#include "HttpEndpointConnection.h"

#include <LibWire/FieldReader.h>

#include <limits>
#include <utility>

namespace Endpoint {

namespace {

boost::json::object
BatchToJson(const Batch& aBatch, std::uint64_t aExchange)
{
  boost::json::array statements;
  for (const Statement& statement : aBatch.statements)
    statements.push_back(boost::json::object{
      { "sql", statement.sql }, { "params", statement.parameters } });
  boost::json::object body{ { "exchange", aExchange },
                            { "statements", std::move(statements) } };
  if (aBatch.term != 0)
    body["term"] = aBatch.term;
  if (aBatch.begin)
    body["begin"] = true;
  if (aBatch.commit)
    body["commit"] = true;
  if (aBatch.rollback)
    body["rollback"] = true;
  if (aBatch.readOnly)
    body["read_only"] = true;
  return body;
}

/** Moves the array named aKey to aTarget, if it is one. */
void
TakeArray(boost::json::object& aObject,
          std::string_view aKey,
          boost::json::array& aTarget)
{
  boost::json::value* value = aObject.if_contains(aKey);
  if (value != nullptr && value->is_array())
    aTarget = std::move(value->get_array());
}

std::vector<StatementResult>
ReadResults(boost::json::object& aBody)
{
  std::vector<StatementResult> results;
  boost::json::value* list = aBody.if_contains("results");
  if (list == nullptr || !list->is_array())
    return results;
  for (boost::json::value& item : list->get_array()) {
    if (!item.is_object())
      continue;
    Core::Findings findings;
    Wire::FieldReader reader(item.get_object(), findings);
    StatementResult result;
    result.affected =
      reader.OptionalInteger("affected", 0, std::numeric_limits<int>::max())
        .value_or(0);
    TakeArray(item.get_object(), "rows", result.rows);
    TakeArray(item.get_object(), "columns", result.columns);
    results.push_back(std::move(result));
  }
  return results;
}

BatchStatus
StatusOf(const std::string& aName)
{
  // "bad_exchange" and anything newer than this program was refused unrun,
  // but only known words may be trusted to mean so.
  return kBatchStatusNames.ValueOf(aName).value_or(BatchStatus::Unknown);
}

} // namespace

HttpEndpointConnection::HttpEndpointConnection(Core::Loop& aLoop,
                                               const Wire::Address& aAddress,
                                               const std::string& aSender)
  : connection_(aLoop, aAddress, aSender)
{
}

void
HttpEndpointConnection::Open(Core::Duration aTimeout,
                             std::function<void(bool)> aCallback)
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/connect";
  call.timeout = aTimeout;
  connection_.Send(
    call,
    [this, callback = std::move(aCallback)](const Wire::HttpOutcome& aOutcome) {
      if (!aOutcome.IsOk())
        connection_.Close();
      callback(aOutcome.IsOk());
    });
}

void
HttpEndpointConnection::Run(const Batch& aBatch,
                            Core::Duration aTimeout,
                            BatchCallback aCallback)
{
  const std::uint64_t exchange = ++lastExchange_;
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/exchange";
  call.body = boost::json::serialize(BatchToJson(aBatch, exchange));
  call.timeout = aTimeout;
  connection_.Send(call,
                   [this, exchange, callback = std::move(aCallback)](
                     const Wire::HttpOutcome& aOutcome) {
                     BatchAnswer answer = ReadAnswer(aOutcome, exchange);
                     if (answer.status == BatchStatus::Unknown ||
                         answer.status == BatchStatus::UnknownConnection)
                       connection_.Close();
                     callback(std::move(answer));
                   });
}

BatchAnswer
HttpEndpointConnection::ReadAnswer(const Wire::HttpOutcome& aOutcome,
                                   std::uint64_t aExchange)
{
  BatchAnswer answer;
  if (aOutcome.delivery == Wire::Delivery::NotSent) {
    answer.status = BatchStatus::NotSent;
    answer.reason = "the database can't be reached";
    return answer;
  }
  answer.reason =
    "no answer: " + std::string(Wire::kDeliveryNames.NameOf(aOutcome.delivery));
  if (!aOutcome.IsOk())
    return answer;
  Core::Findings findings;
  auto body = Wire::ParseObject(aOutcome.answer.body, findings);
  if (!body)
    return answer;
  Wire::FieldReader reader(*body, findings);
  const auto echoed = static_cast<std::uint64_t>(
    reader.Integer("exchange", 0, std::numeric_limits<std::int64_t>::max()));
  if (echoed != aExchange) {
    // Another exchange's answer: this connection has lost its place.
    answer.reason = "the answer belongs to another exchange";
    return answer;
  }
  answer.report = ReportFromJson(*body);
  answer.status = StatusOf(reader.String("status"));
  answer.reason = reader.OptionalString("reason").value_or("");
  answer.failedStatement = static_cast<std::size_t>(
    reader.OptionalInteger("statement", 0, std::numeric_limits<int>::max())
      .value_or(0));
  answer.isUniqueViolation =
    reader.OptionalString("problem") == "unique_violation";
  answer.results = ReadResults(*body);
  return answer;
}

} // namespace Endpoint
