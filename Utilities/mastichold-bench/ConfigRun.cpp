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
  , remainingChanges_(aChanges)
{
}

void
ConfigRun::Start(std::function<void(std::vector<Core::Duration>)> aDone)
{
  done_ = std::move(aDone);
  NextChange();
}

void
ConfigRun::NextChange()
{
  if (remainingChanges_-- == 0) {
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
      { "value", std::to_string(400 + remainingChanges_ % 2) },
      { "reason", "an experiment measures how fast changes spread" } },
    [this](const std::optional<boost::json::object>& aBody) {
      if (!aBody) {
        // Another change was made in between, or the store did not respond.
        timer_ = loop_.After(kPause, [this] {
          ++remainingChanges_;
          NextChange();
        });
        return;
      }
      version_ = VersionIn(*aBody, "version");
      acceptedAt_ = loop_.Now();
      for (const Node& node : client_.Fleet().nodes)
        pendingNodes_.insert(node.name);
      PollNodes();
    });
}

void
ConfigRun::PollNodes()
{
  if (pendingNodes_.empty()) {
    times_.push_back(loop_.Now() - acceptedAt_);
    timer_ = loop_.After(kPause, [this] { NextChange(); });
    return;
  }
  for (const Node& node : client_.Fleet().nodes) {
    if (!pendingNodes_.contains(node.name))
      continue;
    client_.Call(
      node.operators,
      Wire::HttpMethod::Get,
      "/v1/proxy/status",
      {},
      [this,
       name = node.name](const std::optional<boost::json::object>& aBody) {
        if (aBody && VersionIn(*aBody, "configuration_version") >= version_)
          pendingNodes_.erase(name);
      });
  }
  timer_ = loop_.After(kPollPeriod, [this] { PollNodes(); });
}

} // namespace Bench
