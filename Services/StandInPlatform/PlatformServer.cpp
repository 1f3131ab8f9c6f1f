#include "PlatformServer.h"

#include <LibCore/File.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

namespace StandIn {

using Wire::HttpMethod;
using Wire::HttpReplyHandle;
using Wire::HttpRequest;
using Wire::HttpResponse;
using Wire::HttpStatus;

namespace {

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kMaxBodyBytes = std::size_t{ 16 } << 20U;

std::string
QueryText(const HttpRequest& aRequest, const char* aName)
{
  const auto found = aRequest.query.find(aName);
  return found == aRequest.query.end() ? "" : found->second;
}

std::uint64_t
QueryNumber(const HttpRequest& aRequest, const char* aName)
{
  return std::strtoull(QueryText(aRequest, aName).c_str(), nullptr, 10);
}

HttpResponse
BadRequest(const Core::Findings& aFindings)
{
  return HttpResponse::Json(HttpStatus::BadRequest,
                            Wire::FindingsToJson(aFindings));
}

HttpResponse
BadRequest(const std::string& aText)
{
  return HttpResponse::Error(HttpStatus::BadRequest, aText);
}

} // namespace

PlatformServer::PlatformServer(Core::Loop& aLoop)
  : loop_(aLoop)
  , server_(aLoop)
{
  server_.SetMaxBodyBytes(kMaxBodyBytes);
}

std::optional<Wire::Address>
PlatformServer::Start(const Wire::Address& aListen, Core::LastReason& aReason)
{
  AddRoutes();
  return server_.Listen(aListen, aReason);
}

bool
PlatformServer::LoadVms(const std::string& aPath, Core::LastReason& aReason)
{
  HttpRequest request;
  request.body = Core::ReadFile(aPath).value_or("");
  const HttpResponse response = SetVms(request);
  if (response.status == static_cast<int>(HttpStatus::Ok))
    return true;
  aReason.Set(response.body);
  return false;
}

void
PlatformServer::Route(HttpMethod aMethod,
                      const std::string& aPattern,
                      Handler aHandler)
{
  server_.Route(aMethod,
                aPattern,
                [this, handler = std::move(aHandler)](
                  const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
                  if (isDown_) {
                    aReply->Send(HttpResponse::Error(
                      HttpStatus::ServiceUnavailable, "down"));
                    return;
                  }
                  const bool isWrite = aRequest.method != HttpMethod::Get;
                  ++(isWrite ? writes_ : reads_);
                  HttpResponse response = handler(aRequest);
                  if (isWrite && repliesToLose_ > 0) {
                    // The write took effect, but its reply is never sent.
                    --repliesToLose_;
                    return;
                  }
                  loop_.DeferFor(replyDelay_, [aReply, response] {
                    aReply->Send(response);
                  });
                });
}

void
PlatformServer::AddRoutes()
{
  const auto bind = [this](HttpResponse (PlatformServer::*aMethod)(
                      const HttpRequest&)) -> Handler {
    return [this, aMethod](const HttpRequest& aRequest) {
      return (this->*aMethod)(aRequest);
    };
  };
  Route(HttpMethod::Get, "/v1/table/rows", [this](const HttpRequest& aRequest) {
    return ReadRow(aRequest);
  });
  Route(HttpMethod::Get, "/v1/table/scan", [this](const HttpRequest& aRequest) {
    return Scan(aRequest);
  });
  Route(
    HttpMethod::Post, "/v1/table/transactions", bind(&PlatformServer::Commit));
  Route(HttpMethod::Get, "/v1/vms", [this](const HttpRequest& aRequest) {
    return List(aRequest);
  });
  Route(
    HttpMethod::Get, "/v1/objects/{name}", [this](const HttpRequest& aRequest) {
      const auto found = objects_.find(aRequest.captures[0]);
      if (found == objects_.end())
        return HttpResponse::Error(HttpStatus::NotFound, "no such object");
      HttpResponse response;
      response.status = static_cast<int>(HttpStatus::Ok);
      response.body = found->second;
      response.contentType = "application/octet-stream";
      return response;
    });
  Route(
    HttpMethod::Put, "/v1/objects/{name}", [this](const HttpRequest& aRequest) {
      objects_[aRequest.captures[0]] = aRequest.body;
      return HttpResponse::Json(HttpStatus::Ok, boost::json::object{});
    });
  const auto admin =
    [this](const std::string& aPattern,
           HttpResponse (PlatformServer::*aMethod)(const HttpRequest&)) {
      server_.Route(HttpMethod::Post,
                    aPattern,
                    [this, aMethod](const HttpRequest& aRequest,
                                    const HttpReplyHandle& aReply) {
                      aReply->Send((this->*aMethod)(aRequest));
                    });
    };
  admin("/v1/vms", &PlatformServer::SetVms);
  admin("/v1/vms/state", &PlatformServer::SetVmState);
  admin("/faults", &PlatformServer::SetFaults);
}

HttpResponse
PlatformServer::ReadRow(const HttpRequest& aRequest) const
{
  const std::string key = QueryText(aRequest, "key");
  const auto found = rows_.find(key);
  boost::json::object row{ { "key", key }, { "version", 0 } };
  if (found != rows_.end()) {
    row["version"] = found->second.version;
    row["value"] = found->second.value;
  }
  return HttpResponse::Json(
    HttpStatus::Ok,
    boost::json::object{ { "rows", boost::json::array{ row } } });
}

HttpResponse
PlatformServer::Scan(const HttpRequest& aRequest) const
{
  const std::string prefix = QueryText(aRequest, "prefix");
  const std::size_t maxRows = QueryNumber(aRequest, "most");
  boost::json::array rows;
  for (auto row = rows_.lower_bound(prefix);
       row != rows_.end() && row->first.starts_with(prefix);
       ++row)
    rows.push_back(boost::json::object{ { "key", row->first },
                                        { "version", row->second.version },
                                        { "value", row->second.value } });
  if (rows.size() > maxRows)
    rows.erase(rows.begin(),
               rows.begin() +
                 static_cast<std::ptrdiff_t>(rows.size() - maxRows));
  return HttpResponse::Json(HttpStatus::Ok,
                            boost::json::object{ { "rows", std::move(rows) } });
}

HttpResponse
PlatformServer::Commit(const HttpRequest& aRequest)
{
  Core::Findings findings;
  const auto body = Wire::ParseObject(aRequest.body, findings);
  if (!body)
    return BadRequest(findings);
  Wire::FieldReader reader(*body, findings);
  const boost::json::array* conditions = reader.OptionalArray("conditions");
  const boost::json::array* puts = reader.OptionalArray("puts");
  if (conditions == nullptr || puts == nullptr)
    return BadRequest("conditions and puts must be arrays");
  boost::json::array conflicts;
  for (const boost::json::value& item : *conditions) {
    Wire::FieldReader condition(item.as_object(), findings);
    const std::string key = condition.String("key");
    const auto version =
      static_cast<std::uint64_t>(condition.Integer("version", 0, kMaxInt64));
    const auto found = rows_.find(key);
    const std::uint64_t currentVersion =
      found == rows_.end() ? 0 : found->second.version;
    if (currentVersion != version)
      conflicts.emplace_back(key);
  }
  if (!conflicts.empty())
    return HttpResponse::Json(
      HttpStatus::Conflict,
      boost::json::object{ { "conflicts", std::move(conflicts) } });
  for (const boost::json::value& item : *puts) {
    Wire::FieldReader put(item.as_object(), findings);
    Row& row = rows_[put.String("key")];
    ++row.version;
    row.value = item.as_object().at("value");
  }
  return HttpResponse::Json(HttpStatus::Ok, boost::json::object{});
}

HttpResponse
PlatformServer::List(const HttpRequest& aRequest) const
{
  const bool isKnown = QueryNumber(aRequest, "known") == publishedVersion_;
  boost::json::object body =
    isKnown ? Membership::VmList{}.ToJson() : publishedList_.ToJson();
  body["version"] = publishedVersion_;
  return HttpResponse::Json(HttpStatus::Ok, body);
}

HttpResponse
PlatformServer::SetVms(const HttpRequest& aRequest)
{
  Core::Findings findings;
  const auto body = Wire::ParseObject(aRequest.body, findings);
  if (!body)
    return BadRequest(findings);
  Core::LastReason reason;
  auto list = Membership::VmList::FromJson(*body, reason);
  if (!list)
    return BadRequest(reason.Text());
  list_ = std::move(*list);
  PublishList();
  return HttpResponse::Json(HttpStatus::Ok, boost::json::object{});
}

HttpResponse
PlatformServer::SetVmState(const HttpRequest& aRequest)
{
  Core::Findings findings;
  const auto body = Wire::ParseObject(aRequest.body, findings);
  if (!body)
    return BadRequest(findings);
  Wire::FieldReader reader(*body, findings);
  const std::string name = reader.String("name");
  const std::string stateName = reader.String("state");
  const auto state = Membership::kVmStateNames.ValueOf(stateName);
  if (!state && stateName != "gone")
    findings.Add("/state", "must be live, leaving or gone");
  if (!findings.IsEmpty())
    return BadRequest(findings);
  const auto isNamed = [&name](const auto& aVm) { return aVm.name == name; };
  const auto setState = [&](auto& aVms) {
    if (!state) {
      std::erase_if(aVms, isNamed);
      return;
    }
    for (auto& vm : aVms) {
      if (isNamed(vm))
        vm.state = *state;
    }
  };
  setState(list_.members);
  setState(list_.databases);
  PublishList();
  return HttpResponse::Json(HttpStatus::Ok, boost::json::object{});
}

void
PlatformServer::PublishList()
{
  loop_.DeferFor(listLag_, [this, list = list_] {
    publishedList_ = list;
    ++publishedVersion_;
  });
}

HttpResponse
PlatformServer::SetFaults(const HttpRequest& aRequest)
{
  Core::Findings findings;
  const auto body = Wire::ParseObject(aRequest.body, findings);
  if (!body)
    return BadRequest(findings);
  Wire::FieldReader reader(*body, findings);
  const bool down = reader.Boolean("down", isDown_);
  const auto slow = reader.OptionalInteger("slow_ms", 0, kHourMs);
  const auto lag = reader.OptionalInteger("list_lag_ms", 0, kHourMs);
  const auto lose = reader.OptionalInteger("lose_answers", 0, kMaxInt64);
  reader.RejectUnknownFields();
  if (!findings.IsEmpty())
    return BadRequest(findings);
  isDown_ = down;
  if (slow)
    replyDelay_ = std::chrono::milliseconds(*slow);
  if (lag)
    listLag_ = std::chrono::milliseconds(*lag);
  if (lose)
    repliesToLose_ = *lose;
  return HttpResponse::Json(
    HttpStatus::Ok,
    boost::json::object{ { "reads", reads_ }, { "writes", writes_ } });
}

} // namespace StandIn
