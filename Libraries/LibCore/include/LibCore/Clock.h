#pragma once

#include <chrono>

namespace Core {

/** A length of time; the unit is the microsecond. */
using Duration = std::chrono::microseconds;

/** A monotonic time point; comparable only within one process. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A source of monotonic time: the system clock, or a test's clock. */
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

/** The system's monotonic clock. Includes time spent suspended. */
class MonotonicClock final : public Clock
{
public:
  Instant Now() const override;
};

/** A clock that advances only when a test calls Advance. */
class ManualClock final : public Clock
{
public:
  Instant Now() const override { return now_; }
  void Advance(Duration aStep) { now_ += aStep; }

private:
  Instant now_{};
};

/**
 * Returns the wall-clock time in milliseconds since the Unix epoch. Use it for
 * records and expiry only: safety must not depend on the wall clock.
 */
long long
WallClockMilliseconds();

/** Returns aDuration in whole milliseconds; drops the fraction. */
long long
ToMilliseconds(Duration aDuration);

} // namespace Core
