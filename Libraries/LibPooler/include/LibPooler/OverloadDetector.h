#pragma once

#include <LibCore/Clock.h>
#include <LibPooler/GroupRouter.h>
#include <LibPooler/Log.h>

#include <map>
#include <set>
#include <string>

namespace Pooler {

/**
 * Notices groups whose primary has been overloaded for some time, with all
 * replicas behind. Moments in which nothing waits are passed over.
 */
class OverloadDetector
{
public:
  /** How long a primary must be overloaded; bursts are over sooner. */
  static constexpr Core::Duration kPatience = std::chrono::milliseconds(1500);
  /** A longer time without overload ends it. */
  static constexpr Core::Duration kMaxGap = std::chrono::milliseconds(500);

  OverloadDetector(const Core::Clock& aClock,
                   const GroupRouters& aRouters,
                   LogSink aLog);

  /** Looks at all groups; to be called some times a second. */
  void Tick();
  /** What was seen of a group's primary just now. */
  void Note(const std::string& aGroup, bool aIsOverloaded);

  const std::set<std::string>& Overloaded() const { return overloaded_; }

private:
  /** Overload without a gap. */
  struct Spell
  {
    Core::Instant since;
    Core::Instant seenAt;
  };

  const Core::Clock& clock_;
  const GroupRouters& routers_;
  LogSink log_;
  std::map<std::string, Spell> spells_;
  std::set<std::string> overloaded_;
};

} // namespace Pooler
