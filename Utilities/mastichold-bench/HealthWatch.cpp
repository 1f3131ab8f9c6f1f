#include "HealthWatch.h"

#include <iterator>

namespace Bench {

namespace {

constexpr Core::Duration kPeriod = std::chrono::milliseconds(100);

} // namespace

HealthWatch::HealthWatch(Core::Loop& aLoop, CallerClient& aClient)
  : loop_(aLoop)
  , client_(aClient)
{
  for (std::size_t i = 0; i < aClient.Fleet().nodes.size(); ++i)
    fit_.insert(i);
  timer_ = loop_.Every(kPeriod, [this] { Check(); });
}

std::size_t
HealthWatch::Pick(Core::Random& aRandom) const
{
  if (fit_.empty())
    return aRandom.Below(client_.Fleet().nodes.size());
  auto chosen = fit_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(aRandom.Below(fit_.size())));
  return *chosen;
}

void
HealthWatch::Check()
{
  for (std::size_t i = 0; i < client_.Fleet().nodes.size(); ++i) {
    client_.Call(client_.Fleet().nodes[i].operators,
                 Wire::HttpMethod::Get,
                 "/health",
                 {},
                 [this, i](const std::optional<boost::json::object>& aBody) {
                   if (aBody)
                     fit_.insert(i);
                   else
                     fit_.erase(i);
                 });
  }
}

} // namespace Bench
