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
    Note(name, router->IsPrimaryOverloaded());
}

void
OverloadDetector::Note(const std::string& aGroup, bool aIsOverloaded)
{
  const Core::Instant now = clock_.Now();
  const auto spell = spells_.find(aGroup);
  if (aIsOverloaded && spell == spells_.end()) {
    spells_[aGroup] = { now, now };
    return;
  }
  if (spell == spells_.end())
    return;
  if (aIsOverloaded)
    spell->second.seenAt = now;
  if (now - spell->second.seenAt > kMaxGap) {
    spells_.erase(spell);
    if (overloaded_.erase(aGroup) > 0)
      log_("primary_keeps_up", { { "group", aGroup } });
    return;
  }
  const bool isLong = spell->second.seenAt - spell->second.since >= kPatience;
  if (isLong && overloaded_.insert(aGroup).second)
    log_("primary_overloaded", { { "group", aGroup } });
}

} // namespace Pooler
