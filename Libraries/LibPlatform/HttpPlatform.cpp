#include <LibPlatform/HttpPlatform.h>

#include <LibWire/FieldReader.h>

#include <limits>
#include <utility>

namespace Platform {

namespace {

constexpr Core::Duration kRequestTimeout = std::chrono::milliseconds(1000);
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

std::optional<boost::json::object>
ReadBody(const Wire::HttpOutcome& aOutcome)
{
  if (!aOutcome.IsOk())
    return std::nullopt;
  Core::Findings findings;
  return Wire::ParseObject(aOutcome.answer.body, findings);
}

std::optional<std::vector<TableRow>>
RowsFromJson(const boost::json::object& aBody)
{
  Core::Findings findings;
  Wire::FieldReader reader(aBody, findings);
  const boost::json::array* array = reader.OptionalArray("rows");
  if (array == nullptr)
    return std::nullopt;
  std::vector<TableRow> rows;
  for (const boost::json::value& item : *array) {
    if (!item.is_object())
      return std::nullopt;
    Wire::FieldReader row(item.get_object(), findings);
    TableRow entry;
    entry.key = row.String("key");
    entry.version =
      static_cast<std::uint64_t>(row.Integer("version", 0, kMaxInt64));
    if (const auto* value = item.get_object().if_contains("value"))
      entry.value = *value;
    rows.push_back(std::move(entry));
  }
  if (!findings.IsEmpty())
    return std::nullopt;
  return rows;
}

boost::json::object
TransactionToJson(const TableTransaction& aTransaction)
{
  boost::json::array conditions;
  for (const auto& condition : aTransaction.conditions)
    conditions.push_back(boost::json::object{
      { "key", condition.key }, { "version", condition.version } });
  boost::json::array puts;
  for (const auto& put : aTransaction.puts)
    puts.push_back(
      boost::json::object{ { "key", put.key }, { "value", put.value } });
  return { { "conditions", std::move(conditions) },
           { "puts", std::move(puts) } };
}

CommitOutcome
CommitOutcomeOf(const Wire::HttpOutcome& aOutcome)
{
  if (aOutcome.delivery == Wire::Delivery::NotSent)
    return CommitOutcome::Refused;
  if (aOutcome.delivery != Wire::Delivery::Answered)
    return CommitOutcome::Unknown;
  if (aOutcome.IsOk())
    return CommitOutcome::Committed;
  if (aOutcome.answer.status == static_cast<int>(Wire::HttpStatus::Conflict))
    return CommitOutcome::Conflict;
  return CommitOutcome::Refused;
}

} // namespace

HttpPlatform::HttpPlatform(Wire::HttpClient& aClient,
                           const Wire::Address& aAddress)
  : client_(aClient)
  , address_(aAddress)
{
}

void
HttpPlatform::ReadRows(const std::string& aTarget, RowsCallback aCallback)
{
  Wire::HttpCall call;
  call.target = aTarget;
  call.timeout = kRequestTimeout;
  call.stallTimeout = kRequestTimeout;
  client_.Call(
    address_,
    call,
    [callback = std::move(aCallback)](const Wire::HttpOutcome& aOutcome) {
      const auto body = ReadBody(aOutcome);
      callback(body ? RowsFromJson(*body) : std::nullopt);
    });
}

void
HttpPlatform::Read(const std::string& aKey, RowsCallback aCallback)
{
  ReadRows("/v1/table/rows?key=" + aKey, std::move(aCallback));
}

void
HttpPlatform::Scan(const std::string& aPrefix,
                   std::size_t aLimit,
                   RowsCallback aCallback)
{
  ReadRows("/v1/table/scan?prefix=" + aPrefix +
             "&most=" + std::to_string(aLimit),
           std::move(aCallback));
}

void
HttpPlatform::Commit(const TableTransaction& aTransaction,
                     CommitCallback aCallback)
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/table/transactions";
  call.body = boost::json::serialize(TransactionToJson(aTransaction));
  call.timeout = kRequestTimeout;
  client_.Call(
    address_,
    call,
    [callback = std::move(aCallback)](const Wire::HttpOutcome& aOutcome) {
      callback(CommitOutcomeOf(aOutcome));
    });
}

void
HttpPlatform::List(
  std::uint64_t aKnownVersion,
  std::function<void(std::optional<VersionedVmList>)> aCallback)
{
  Wire::HttpCall call;
  call.target = "/v1/vms?known=" + std::to_string(aKnownVersion);
  call.timeout = kRequestTimeout;
  call.stallTimeout = kRequestTimeout;
  client_.Call(
    address_,
    call,
    [callback = std::move(aCallback)](const Wire::HttpOutcome& aOutcome) {
      const auto body = ReadBody(aOutcome);
      Core::LastReason reason;
      auto list =
        body ? Membership::VmList::FromJson(*body, reason) : std::nullopt;
      if (!list) {
        callback(std::nullopt);
        return;
      }
      Core::Findings findings;
      Wire::FieldReader reader(*body, findings);
      callback(VersionedVmList{
        static_cast<std::uint64_t>(reader.Integer("version", 0, kMaxInt64)),
        std::move(*list) });
    });
}

} // namespace Platform
