#include "StandInStore.h"

#include "Base64.h"

#include <LibWire/FieldReader.h>

#include <utility>

namespace StandIns {

namespace {

constexpr int kConflict = 412;
constexpr int kGone = 410;

/** The header with the number of the store's restorations. */
constexpr const char* kEraHeader = "Store-Era";

std::string
QueryParameter(const Wire::HttpRequest& aRequest, const std::string& aName)
{
  const auto value = aRequest.query.find(aName);
  return value == aRequest.query.end() ? "" : value->second;
}

boost::json::object
ToJson(const std::string& aTable,
       const std::string& aKey,
       const std::string& aValue,
       std::uint64_t aVersion,
       bool aIsRemoved)
{
  boost::json::object row{
    { "table", aTable }, { "part", "" }, { "key", aKey }, { "ver", aVersion }
  };
  if (aIsRemoved)
    row["removed"] = true;
  else
    row["value"] = Adapter::EncodeBase64(aValue);
  return row;
}

/** Adds the store's era to each response. */
class ReplyWithEra final : public Wire::HttpReply
{
public:
  ReplyWithEra(Wire::HttpReplyHandle aReply, const std::uint64_t& aEra)
    : reply_(std::move(aReply))
    , era_(aEra)
  {
  }

  void Send(Wire::HttpResponse aResponse) override
  {
    aResponse.headers.emplace_back(kEraHeader, std::to_string(era_));
    reply_->Send(std::move(aResponse));
  }

private:
  Wire::HttpReplyHandle reply_;
  const std::uint64_t& era_;
};

Wire::HttpResponse
WithoutRows(int aStatus)
{
  Wire::HttpResponse response;
  response.status = aStatus;
  response.body = R"({"rows":[]})";
  return response;
}

} // namespace

StandInStore::StandInStore(Core::Loop& aLoop)
  : loop_(aLoop)
  , server_(aLoop)
{
  AddRoutes();
}

Wire::Address
StandInStore::Start()
{
  Core::LastReason reason;
  return server_.Listen({ "127.0.0.1", 0 }, reason).value();
}

void
StandInStore::AddRoutes()
{
  const auto route = [this](Wire::HttpMethod aMethod,
                            const std::string& aPath,
                            void (StandInStore::*aHandler)(
                              const Wire::HttpRequest&,
                              const Wire::HttpReplyHandle&)) {
    server_.Route(aMethod,
                  aPath,
                  [this, aHandler](const Wire::HttpRequest& aRequest,
                                   const Wire::HttpReplyHandle& aReply) {
                    if (isDown)
                      aReply->Send(Wire::HttpResponse::Error(
                        Wire::HttpStatus::ServiceUnavailable, "down"));
                    else
                      (this->*aHandler)(
                        aRequest, std::make_shared<ReplyWithEra>(aReply, era_));
                  });
  };
  route(Wire::HttpMethod::Get, "/rows-get", &StandInStore::Read);
  route(Wire::HttpMethod::Get, "/rows-feed", &StandInStore::AwaitChanges);
  route(Wire::HttpMethod::Post, "/rows-tx", &StandInStore::ApplyTransaction);
  route(Wire::HttpMethod::Post, "/promote", &StandInStore::Promote);
}

void
StandInStore::Put(const std::string& aTable,
                  const std::string& aKey,
                  const std::string& aValue)
{
  tables_[aTable][aKey] = { aValue, ++version_, false };
  WakeWaiters();
}

void
StandInStore::Remove(const std::string& aTable, const std::string& aKey)
{
  tables_[aTable][aKey] = { "", ++version_, true };
  WakeWaiters();
}

void
StandInStore::Restore()
{
  tables_ = copy_.tables;
  version_ = copy_.version;
  historyBegin_ = version_;
  ++era_;
  for (const auto& [number, waiter] : std::exchange(waiters_, {}))
    waiter.reply->Send(Wire::HttpResponse::Error(
      Wire::HttpStatus::ServiceUnavailable, "restored"));
}

void
StandInStore::SilencePolls()
{
  for (const auto& [number, waiter] : std::exchange(waiters_, {}))
    silenced_.push_back(waiter.reply);
}

std::vector<std::string>
StandInStore::Values(const std::string& aTable) const
{
  std::vector<std::string> values;
  const auto table = tables_.find(aTable);
  if (table == tables_.end())
    return values;
  for (const auto& [key, row] : table->second) {
    if (!row.isRemoved)
      values.push_back(row.value);
  }
  return values;
}

void
StandInStore::DropHistory()
{
  historyBegin_ = ++version_;
  for (const auto& [number, waiter] : std::exchange(waiters_, {}))
    waiter.reply->Send(WithoutRows(kGone));
}

void
StandInStore::SendRows(const Wire::HttpReplyHandle& aReply,
                       boost::json::array aRows)
{
  aReply->Send(Wire::HttpResponse::Json(
    Wire::HttpStatus::Ok,
    boost::json::object{ { "rows", std::move(aRows) },
                         { "has-more", false },
                         { "ver", version_ },
                         { "now-ms", Core::WallClockMilliseconds() } }));
}

void
StandInStore::Read(const Wire::HttpRequest& aRequest,
                   const Wire::HttpReplyHandle& aReply)
{
  ++reads;
  const std::string table = QueryParameter(aRequest, "table");
  boost::json::array rows;
  for (const auto& [key, row] : tables_[table]) {
    if (!row.isRemoved && key >= QueryParameter(aRequest, "from"))
      rows.push_back(ToJson(table, key, row.value, row.version, false));
  }
  SendRows(aReply, std::move(rows));
}

boost::json::array
StandInStore::RowsAfter(const std::string& aTable, std::uint64_t aAfter)
{
  std::map<std::uint64_t, boost::json::object> byVersion;
  for (const auto& [key, row] : tables_[aTable]) {
    if (row.version > aAfter)
      byVersion[row.version] =
        ToJson(aTable, key, row.value, row.version, row.isRemoved);
  }
  boost::json::array rows;
  for (auto& [version, row] : byVersion)
    rows.push_back(std::move(row));
  return rows;
}

void
StandInStore::AwaitChanges(const Wire::HttpRequest& aRequest,
                           const Wire::HttpReplyHandle& aReply)
{
  ++reads;
  const std::string table = QueryParameter(aRequest, "table");
  const std::uint64_t after = std::stoull(QueryParameter(aRequest, "after"));
  if (after < historyBegin_ || after > version_) {
    aReply->Send(WithoutRows(kGone));
    return;
  }
  boost::json::array rows = RowsAfter(table, after);
  const long long wait = std::stoll(QueryParameter(aRequest, "wait-ms"));
  if (!rows.empty() || wait == 0) {
    SendRows(aReply, std::move(rows));
    return;
  }
  const std::uint64_t number = ++lastWaiter_;
  Waiter& waiter = waiters_[number];
  waiter = { table, after, aReply, nullptr };
  waiter.timer = loop_.After(std::chrono::milliseconds(wait), [this, number] {
    const auto node = waiters_.extract(number);
    SendRows(node.mapped().reply, {});
  });
}

void
StandInStore::WakeWaiters()
{
  const auto waiting = std::exchange(waiters_, {});
  for (const auto& [number, waiter] : waiting) {
    boost::json::array rows = RowsAfter(waiter.table, waiter.after);
    if (rows.empty())
      waiters_.emplace(number, waiter);
    else
      SendRows(waiter.reply, std::move(rows));
  }
}

void
StandInStore::ApplyTransaction(const Wire::HttpRequest& aRequest,
                               const Wire::HttpReplyHandle& aReply)
{
  const boost::json::value body = boost::json::parse(aRequest.body);
  const auto field = [](const boost::json::value& aRow, const char* aName) {
    return std::string(aRow.at(aName).as_string());
  };
  for (const auto& condition : body.at("expected-rev").as_array()) {
    const Row& row =
      tables_[field(condition, "table")][field(condition, "key")];
    const std::uint64_t current = row.isRemoved ? 0 : row.version;
    if (current == condition.at("ver").to_number<std::uint64_t>())
      continue;
    aReply->Send(WithoutRows(kConflict));
    return;
  }
  const std::uint64_t version = ++version_;
  for (const auto& put : body.at("puts").as_array())
    tables_[field(put, "table")][field(put, "key")] = {
      Adapter::DecodeBase64(field(put, "value")).value(), version, false
    };
  for (const auto& name : body.at("remove").as_array())
    tables_[field(name, "table")][field(name, "key")] = { "", version, true };
  if (repliesToLose > 0)
    --repliesToLose;
  else
    SendRows(aReply, {});
  WakeWaiters();
}

void
StandInStore::Promote(const Wire::HttpRequest& aRequest,
                      const Wire::HttpReplyHandle& aReply)
{
  const boost::json::value body = boost::json::parse(aRequest.body);
  aReply->Send(
    Wire::HttpResponse::Json(Wire::HttpStatus::Ok, boost::json::object{}));
  if (onPromote_)
    onPromote_(std::string(body.at("service").as_string()),
               std::string(body.at("id").as_string()));
}

} // namespace StandIns
