#include "OverheadRun.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace Bench {

namespace {

constexpr int kConcurrentReaders = 24;
constexpr Core::Duration kConcurrentTime = std::chrono::seconds(4);
constexpr Core::Duration kTimeout = std::chrono::seconds(2);
constexpr std::int64_t kMaxAgeMs = 60'000;

} // namespace

Core::Duration
ProcessorTimeOf(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string text;
  std::getline(file, text);
  // Skips past the command name in parentheses, which may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBefore = 11;
  for (int i = 0; i < kFieldsBefore; ++i)
    fields >> skipped;
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  const std::int64_t ticks = sysconf(_SC_CLK_TCK);
  return Core::Duration((user + system) * 1'000'000 / ticks);
}

std::int64_t
ResidentMemoryOf(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:"))
      return std::atoll(line.c_str() + 6);
  }
  return 0;
}

OverheadRun::OverheadRun(Core::Loop& aLoop, CallerClient& aClient, int aReads)
  : loop_(aLoop)
  , client_(aClient)
  , remainingReads_(aReads)
{
}

void
OverheadRun::Start(std::function<void(OverheadResult)> aDone)
{
  done_ = std::move(aDone);
  group_ = client_.Fleet().Groups().front();
  client_.Call(client_.Fleet().nodes.front().operators,
               Wire::HttpMethod::Get,
               "/v1/proxy/status",
               {},
               [this](const std::optional<boost::json::object>& aBody) {
                 std::string name;
                 if (aBody) {
                   for (const auto& item : aBody->at("homes").as_array()) {
                     if (item.at("group") == boost::json::value(group_))
                       name = item.at("home").as_string();
                   }
                 }
                 const auto& nodes = client_.Fleet().nodes;
                 for (std::size_t i = 0; i < nodes.size(); ++i) {
                   if (nodes[i].name == name)
                     home_ = i;
                 }
                 other_ = (home_ + 1) % nodes.size();
                 ConnectDirect();
               });
}

void
OverheadRun::ConnectDirect()
{
  const auto& databases = client_.Fleet().databases;
  const auto first = std::find_if(
    databases.begin(), databases.end(), [this](const auto& aDatabase) {
      return aDatabase.group == group_;
    });
  connection_ =
    std::make_unique<Wire::HttpConnection>(loop_, first->address, "");
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/connect";
  call.timeout = kTimeout;
  connection_->Send(call, [this](const Wire::HttpOutcome&) { NextRound(); });
}

void
OverheadRun::NextRound()
{
  if (remainingReads_-- == 0) {
    StartConcurrentReads();
    return;
  }
  ReadDirect();
}

void
OverheadRun::ReadDirect()
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/exchange";
  call.timeout = kTimeout;
  call.body = boost::json::serialize(boost::json::object{
    { "exchange", ++exchange_ },
    { "read_only", true },
    { "statements",
      boost::json::array{ boost::json::object{ { "sql", "SELECT 1" } } } } });
  connection_->Send(call,
                    [this, start = loop_.Now()](const Wire::HttpOutcome&) {
                      result_.direct.push_back(loop_.Now() - start);
                      ReadThroughProxy(home_, result_.atHome);
                    });
}

void
OverheadRun::ReadThroughProxy(std::size_t aNode,
                              std::vector<Core::Duration>& aTimes)
{
  CallerStatement statement;
  statement.group = group_;
  statement.requestId = "o" + std::to_string(++exchange_);
  statement.sql = "SELECT 1";
  statement.maxAgeMs = kMaxAgeMs;
  client_.Send(
    aNode, statement, [this, aNode, &aTimes](const CallerResponse& aResponse) {
      aTimes.push_back(aResponse.time);
      if (aNode == home_)
        ReadThroughProxy(other_, result_.withHop);
      else
        NextRound();
    });
}

void
OverheadRun::StartConcurrentReads()
{
  concurrentStart_ = loop_.Now();
  concurrentProcessorStart_ =
    ProcessorTimeOf(client_.Fleet().nodes[home_].proxy);
  for (int i = 0; i < kConcurrentReaders; ++i)
    SendConcurrentRead();
  timer_ = loop_.After(kConcurrentTime, [this] {
    isConcurrentOver_ = true;
    result_.concurrentTime = loop_.Now() - concurrentStart_;
    result_.concurrentProcessorTime =
      ProcessorTimeOf(client_.Fleet().nodes[home_].proxy) -
      concurrentProcessorStart_;
    done_(std::move(result_));
  });
}

void
OverheadRun::SendConcurrentRead()
{
  CallerStatement statement;
  statement.group = group_;
  statement.requestId = "c" + std::to_string(++exchange_);
  statement.sql = "SELECT 1";
  statement.maxAgeMs = kMaxAgeMs;
  client_.Send(home_, statement, [this](const CallerResponse& aResponse) {
    if (isConcurrentOver_)
      return;
    if (aResponse.end == CallEnd::Ok)
      ++result_.concurrentReads;
    SendConcurrentRead();
  });
}

} // namespace Bench
