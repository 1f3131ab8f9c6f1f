#include "Platform.h"

#include "Base64.h"

#include <utility>

namespace Review {

namespace {

constexpr int kConflict = 412;

/** Half of the time that the store takes to answer. */
constexpr Core::Duration kOneWayDelay = std::chrono::milliseconds(2);

std::string
Parameter(const Wire::HttpRequest& aRequest, const std::string& aName)
{
  const auto value = aRequest.query.find(aName);
  return value == aRequest.query.end() ? "" : value->second;
}

void
ReplaceAll(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (std::size_t at = aText.find(aFrom); at != std::string::npos;
       at = aText.find(aFrom, at + aTo.size()))
    aText.replace(at, aFrom.size(), aTo);
}

std::string
Field(const boost::json::value& aRow, const char* aName)
{
  return std::string(aRow.at(aName).as_string());
}

} // namespace

Platform::Platform(Core::Loop& aLoop)
  : loop_(aLoop)
{
}

Platform::~Platform() = default;

Wire::Address
Platform::OpenView()
{
  const std::size_t view = views_.size();
  views_.push_back({ std::make_unique<Wire::HttpServer>(loop_), {} });
  Wire::HttpServer& server = *views_.back().server;
  server.SetEmulatedLatency(kOneWayDelay);
  server.Route(Wire::HttpMethod::Get,
               "/rows-get",
               [this, view](const auto& aRequest, const auto& aReply) {
                 Read(view, aRequest, aReply);
               });
  server.Route(Wire::HttpMethod::Get,
               "/rows-feed",
               [this, view](const auto& aRequest, const auto& aReply) {
                 AwaitChanges(view, aRequest, aReply);
               });
  server.Route(Wire::HttpMethod::Post,
               "/rows-tx",
               [this, view](const auto& aRequest, const auto& aReply) {
                 ApplyTransaction(view, aRequest, aReply);
               });
  server.Route(Wire::HttpMethod::Post,
               "/promote",
               [this](const auto& aRequest, const auto& aReply) {
                 Promote(aRequest, aReply);
               });
  Core::LastReason reason;
  return server.Listen({ "127.0.0.1", 0 }, reason).value();
}

void
Platform::SetTranslation(std::size_t aView, Translation aTranslation)
{
  views_.at(aView).translation = std::move(aTranslation);
}

void
Platform::Put(const std::string& aTable,
              const std::string& aKey,
              const std::string& aValue)
{
  tables_[aTable][aKey] = { aValue, ++version_, false };
  WakeWaiters();
}

boost::json::object
Platform::RowJson(std::size_t aView,
                  const std::string& aTable,
                  const std::string& aKey,
                  const Row& aRow) const
{
  boost::json::object json{ { "table", aTable },
                            { "part", "" },
                            { "key", aKey },
                            { "ver", aRow.version } };
  if (aRow.isRemoved) {
    json["removed"] = true;
    return json;
  }
  std::string value = aRow.value;
  for (const auto& [real, shown] : views_.at(aView).translation)
    ReplaceAll(value, real, shown);
  json["value"] = Adapter::EncodeBase64(value);
  return json;
}

boost::json::array
Platform::RowsAfter(std::size_t aView,
                    const std::string& aTable,
                    std::uint64_t aAfter)
{
  std::map<std::uint64_t, boost::json::object> byVersion;
  for (const auto& [key, row] : tables_[aTable]) {
    if (row.version > aAfter)
      byVersion[row.version] = RowJson(aView, aTable, key, row);
  }
  boost::json::array rows;
  for (auto& [version, row] : byVersion)
    rows.push_back(std::move(row));
  return rows;
}

void
Platform::SendRows(const Wire::HttpReplyHandle& aReply,
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
Platform::Read(std::size_t aView,
               const Wire::HttpRequest& aRequest,
               const Wire::HttpReplyHandle& aReply)
{
  const std::string table = Parameter(aRequest, "table");
  const std::string from = Parameter(aRequest, "from");
  boost::json::array rows;
  for (const auto& [key, row] : tables_[table]) {
    if (!row.isRemoved && key >= from)
      rows.push_back(RowJson(aView, table, key, row));
  }
  SendRows(aReply, std::move(rows));
}

void
Platform::AwaitChanges(std::size_t aView,
                       const Wire::HttpRequest& aRequest,
                       const Wire::HttpReplyHandle& aReply)
{
  const std::string table = Parameter(aRequest, "table");
  const std::uint64_t after = std::stoull(Parameter(aRequest, "after"));
  const long long wait = std::stoll(Parameter(aRequest, "wait-ms"));
  boost::json::array rows = RowsAfter(aView, table, after);
  if (!rows.empty() || wait == 0) {
    SendRows(aReply, std::move(rows));
    return;
  }
  const std::uint64_t number = ++lastWaiter_;
  Waiter& waiter = waiters_[number];
  waiter = { aView, table, after, aReply, nullptr };
  waiter.timer = loop_.After(std::chrono::milliseconds(wait), [this, number] {
    const auto node = waiters_.extract(number);
    SendRows(node.mapped().reply, {});
  });
}

void
Platform::WakeWaiters()
{
  const auto waiting = std::exchange(waiters_, {});
  for (const auto& [number, waiter] : waiting) {
    boost::json::array rows =
      RowsAfter(waiter.view, waiter.table, waiter.after);
    if (rows.empty())
      waiters_.emplace(number, waiter);
    else
      SendRows(waiter.reply, std::move(rows));
  }
}

void
Platform::ApplyTransaction(std::size_t aView,
                           const Wire::HttpRequest& aRequest,
                           const Wire::HttpReplyHandle& aReply)
{
  const boost::json::value body = boost::json::parse(aRequest.body);
  for (const auto& condition : body.at("expected-rev").as_array()) {
    const std::string table = Field(condition, "table");
    const std::string key = Field(condition, "key");
    const Row& row = tables_[table][key];
    const std::uint64_t current = row.isRemoved ? 0 : row.version;
    if (current == condition.at("ver").to_number<std::uint64_t>())
      continue;
    boost::json::array rows;
    if (current != 0)
      rows.push_back(RowJson(aView, table, key, row));
    Wire::HttpResponse response;
    response.status = kConflict;
    response.body =
      boost::json::serialize(boost::json::object{ { "rows", rows } });
    aReply->Send(response);
    return;
  }
  const std::uint64_t version = ++version_;
  for (const auto& put : body.at("puts").as_array()) {
    std::string value = Adapter::DecodeBase64(Field(put, "value")).value();
    for (const auto& [real, shown] : views_.at(aView).translation)
      ReplaceAll(value, shown, real);
    tables_[Field(put, "table")][Field(put, "key")] = { value, version, false };
  }
  for (const auto& name : body.at("remove").as_array())
    tables_[Field(name, "table")][Field(name, "key")] = { "", version, true };
  SendRows(aReply, {});
  WakeWaiters();
}

void
Platform::Promote(const Wire::HttpRequest& aRequest,
                  const Wire::HttpReplyHandle& aReply)
{
  const boost::json::value body = boost::json::parse(aRequest.body);
  aReply->Send(
    Wire::HttpResponse::Json(Wire::HttpStatus::Ok, boost::json::object{}));
  if (onPromote_)
    onPromote_(Field(body, "service"), Field(body, "id"));
}

} // namespace Review
