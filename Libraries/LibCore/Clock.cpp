#include <LibCore/Clock.h>

namespace Core {

Instant
MonotonicClock::Now() const
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

long long
WallClockMilliseconds()
{
  return ToMilliseconds(std::chrono::duration_cast<Duration>(
    std::chrono::system_clock::now().time_since_epoch()));
}

long long
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace Core
