#include "HealthMonitor.h"

#include <iterator>

namespace Bench {

namespace {

constexpr Core::Duration kPeriod = std::chrono::milliseconds(100);

} // namespace

HealthMonitor::HealthMonitor(Core::Loop& aLoop, CallerClient& aClient)
  : loop_(aLoop)
  , client_(aClient)
{
  for (std::size_t i = 0; i < aClient.Fleet().nodes.size(); ++i)
    healthyNodes_.insert(i);
  timer_ = loop_.Every(kPeriod, [this] { Check(); });
}

std::size_t
HealthMonitor::Pick(Core::Random& aRandom) const
{
  if (healthyNodes_.empty())
    return aRandom.Below(client_.Fleet().nodes.size());
  auto chosen = healthyNodes_.begin();
  std::advance(
    chosen, static_cast<std::ptrdiff_t>(aRandom.Below(healthyNodes_.size())));
  return *chosen;
}

void
HealthMonitor::Check()
{
  for (std::size_t i = 0; i < client_.Fleet().nodes.size(); ++i) {
    client_.Call(client_.Fleet().nodes[i].operators,
                 Wire::HttpMethod::Get,
                 "/health",
                 {},
                 [this, i](const std::optional<boost::json::object>& aBody) {
                   if (aBody)
                     healthyNodes_.insert(i);
                   else
                     healthyNodes_.erase(i);
                 });
  }
}

} // namespace Bench
