#pragma once

#include <LibCore/Clock.h>
#include <LibPooler/GroupRouter.h>
#include <LibPooler/Log.h>

#include <map>
#include <set>
#include <string>

namespace Pooler {

/**
 * Detects groups whose primary has been overloaded for some time while all
 * replicas lag behind. Gaps of up to kMaxGap without overload are ignored.
 */
class OverloadDetector
{
public:
  /** The minimum duration of an overload; bursts are shorter. */
  static constexpr Core::Duration kMinOverload =
    std::chrono::milliseconds(1500);
  /** A longer gap without overload ends the streak. */
  static constexpr Core::Duration kMaxGap = std::chrono::milliseconds(500);

  OverloadDetector(const Core::Clock& aClock,
                   const GroupRouters& aRouters,
                   LogSink aLog);

  /** Checks all groups; must be called several times per second. */
  void Tick();
  /** Adds an observation of a group's primary at the current time. */
  void Observe(const std::string& aGroup, bool aIsOverloaded);

  const std::set<std::string>& Overloaded() const { return overloaded_; }

private:
  /** Overload without a gap longer than kMaxGap. */
  struct Streak
  {
    Core::Instant since;
    Core::Instant lastSeenAt;
  };

  const Core::Clock& clock_;
  const GroupRouters& routers_;
  LogSink log_;
  std::map<std::string, Streak> streaks_;
  std::set<std::string> overloaded_;
};

} // namespace Pooler
