#pragma once

#include <chrono>

namespace Core {

/** A length of time; the unit is the microsecond. */
using Duration = std::chrono::microseconds;

/** A point of the monotonic clock, comparable inside one process only. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Where decisions read the time from: the machine, or a test. */
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

/** The machine's monotonic clock; it also runs while the VM is suspended. */
class MonotonicClock final : public Clock
{
public:
  Instant Now() const override;
};

/** A clock that a test moves by hand. */
class ManualClock final : public Clock
{
public:
  Instant Now() const override { return now_; }
  void Advance(Duration aStep) { now_ += aStep; }

private:
  Instant now_{};
};

/**
 * The time on the wall in milliseconds since 1970: for records and expiry, and
 * never for anything that safety depends on.
 */
long long
WallClockMilliseconds();

/** Whole milliseconds of aDuration, rounded down. */
long long
ToMilliseconds(Duration aDuration);

} // namespace Core
