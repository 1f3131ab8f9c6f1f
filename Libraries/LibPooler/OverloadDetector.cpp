#include <LibPooler/OverloadDetector.h>

#include <utility>

namespace Pooler {

OverloadDetector::OverloadDetector(const Core::Clock& aClock,
                                   const GroupRouters& aRouters,
                                   LogSink aLog)
  : clock_(aClock)
  , routers_(aRouters)
  , log_(std::move(aLog))
{
}

void
OverloadDetector::Tick()
{
  for (const auto& [name, router] : routers_)
    Observe(name, router->IsPrimaryOverloaded());
}

void
OverloadDetector::Observe(const std::string& aGroup, bool aIsOverloaded)
{
  const Core::Instant now = clock_.Now();
  const auto streak = streaks_.find(aGroup);
  if (aIsOverloaded && streak == streaks_.end()) {
    streaks_[aGroup] = { now, now };
    return;
  }
  if (streak == streaks_.end())
    return;
  if (aIsOverloaded)
    streak->second.lastSeenAt = now;
  if (now - streak->second.lastSeenAt > kMaxGap) {
    streaks_.erase(streak);
    if (overloaded_.erase(aGroup) > 0)
      log_("primary_keeps_up", { { "group", aGroup } });
    return;
  }
  const bool isSustained =
    streak->second.lastSeenAt - streak->second.since >= kMinOverload;
  if (isSustained && overloaded_.insert(aGroup).second)
    log_("primary_overloaded", { { "group", aGroup } });
}

} // namespace Pooler
