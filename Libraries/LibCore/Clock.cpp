#include <LibCore/Clock.h>

#include <ctime>

namespace Core {

Instant
MonotonicClock::Now() const
{
  // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time for which the VM
  // was suspended, so a lease also expires while its holder is suspended.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
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
