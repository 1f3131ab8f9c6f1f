#include "ConfigRun.h"

namespace Bench {

namespace {

constexpr Core::Duration kPollPeriod = std::chrono::milliseconds(10);
constexpr Core::Duration kPause = std::chrono::milliseconds(200);

std::int64_t
VersionIn(const boost::json::object& aBody, const char* aKey)
{
  const auto* value = aBody.if_contains(aKey);
  return value != nullptr ? value->to_number<std::int64_t>() : 0;
}

} // namespace

ConfigRun::ConfigRun(Core::Loop& aLoop, CallerClient& aClient, int aChanges)
  : loop_(aLoop)
  , client_(aClient)
  , random_(Core::Random::FromSystem())
  , left_(aChanges)
{
}

void
ConfigRun::Start(std::function<void(std::vector<Core::Duration>)> aDone)
{
  done_ = std::move(aDone);
  Next();
}

void
ConfigRun::Next()
{
  if (left_-- == 0) {
    done_(std::move(times_));
    return;
  }
  const auto& nodes = client_.Fleet().nodes;
  client_.Call(nodes[random_.Below(nodes.size())].operators,
               Wire::HttpMethod::Get,
               "/v1/operators/config",
               {},
               [this](const std::optional<boost::json::object>& aBody) {
                 Change(aBody ? VersionIn(*aBody, "version") : 0);
               });
}

void
ConfigRun::Change(std::int64_t aBasedOn)
{
  const auto& nodes = client_.Fleet().nodes;
  client_.Call(
    nodes[random_.Below(nodes.size())].operators,
    Wire::HttpMethod::Post,
    "/v1/operators/config",
    { { "change_id", random_.Hex(16) },
      { "based_on", aBasedOn },
      { "edit", "set" },
      { "name", "queue.longest" },
      { "value", std::to_string(400 + left_ % 2) },
      { "reason", "an experiment measures how fast changes spread" } },
    [this](const std::optional<boost::json::object>& aBody) {
      if (!aBody) {
        // Another change came first, or the store did not answer.
        timer_ = loop_.After(kPause, [this] {
          ++left_;
          Next();
        });
        return;
      }
      version_ = VersionIn(*aBody, "version");
      acceptedAt_ = loop_.Now();
      for (const Node& node : client_.Fleet().nodes)
        waitingFor_.insert(node.name);
      PollNodes();
    });
}

void
ConfigRun::PollNodes()
{
  if (waitingFor_.empty()) {
    times_.push_back(loop_.Now() - acceptedAt_);
    timer_ = loop_.After(kPause, [this] { Next(); });
    return;
  }
  for (const Node& node : client_.Fleet().nodes) {
    if (!waitingFor_.contains(node.name))
      continue;
    client_.Call(
      node.operators,
      Wire::HttpMethod::Get,
      "/v1/proxy/status",
      {},
      [this,
       name = node.name](const std::optional<boost::json::object>& aBody) {
        if (aBody && VersionIn(*aBody, "configuration_version") >= version_)
          waitingFor_.erase(name);
      });
  }
  timer_ = loop_.After(kPollPeriod, [this] { PollNodes(); });
}

} // namespace Bench
