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

/** Moves the field aKey to aTarget if it is an array. */
void
MoveArray(boost::json::object& aObject,
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
    MoveArray(item.get_object(), "rows", result.rows);
    MoveArray(item.get_object(), "columns", result.columns);
    results.push_back(std::move(result));
  }
  return results;
}

BatchStatus
StatusOf(const std::string& aName)
{
  // A database that replies "bad_exchange", or a status added after this
  // version, has refused the batch without running it. But an unknown status is
  // no proof of that, so it counts as Unknown: the batch may have run.
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
                     BatchResponse response = ReadResponse(aOutcome, exchange);
                     if (response.status == BatchStatus::Unknown ||
                         response.status == BatchStatus::UnknownConnection)
                       connection_.Close();
                     callback(std::move(response));
                   });
}

BatchResponse
HttpEndpointConnection::ReadResponse(const Wire::HttpOutcome& aOutcome,
                                     std::uint64_t aExchange)
{
  BatchResponse response;
  if (aOutcome.delivery == Wire::Delivery::NotSent) {
    response.status = BatchStatus::NotSent;
    response.reason = "the database can't be reached";
    return response;
  }
  response.reason = "no response from the database: " +
                    std::string(Wire::kDeliveryNames.NameOf(aOutcome.delivery));
  if (!aOutcome.IsOk())
    return response;
  Core::Findings findings;
  auto body = Wire::ParseObject(aOutcome.answer.body, findings);
  if (!body)
    return response;
  Wire::FieldReader reader(*body, findings);
  const auto echoed = static_cast<std::uint64_t>(
    reader.Integer("exchange", 0, std::numeric_limits<std::int64_t>::max()));
  if (echoed != aExchange) {
    // This is the response to another exchange, so requests and responses no
    // longer match on this connection.
    response.reason = "the response belongs to another exchange";
    return response;
  }
  response.report = ReportFromJson(*body);
  response.status = StatusOf(reader.String("status"));
  response.reason = reader.OptionalString("reason").value_or("");
  response.failedStatement = static_cast<std::size_t>(
    reader.OptionalInteger("statement", 0, std::numeric_limits<int>::max())
      .value_or(0));
  response.isUniqueViolation =
    reader.OptionalString("problem") == "unique_violation";
  response.results = ReadResults(*body);
  return response;
}

} // namespace Endpoint
