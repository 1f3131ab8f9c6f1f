#pragma once

#include <LibCore/Clock.h>

namespace Quota {

/** How far a customer's use may exceed its quota, over all nodes. */
struct Tolerance
{
  /** The length of the sliding window in which operations are counted. */
  Core::Duration window{ 0 };
  /** The tolerated excess as a fraction of the quota. */
  double overrun = 0;
  /** The tolerated excess in operations. */
  double slack = 0;
};

/**
 * What all shares of a customer's quota may sum to. If they never sum to more,
 * no window holds more than depth + rate * window operations.
 */
struct Allotment
{
  /** Operations a second. */
  double rate = 0;
  /** Operations that may be in stock at one moment. */
  double depth = 0;
};

/**
 * The allotment for a quota of aPerSecond operations a second with bursts of
 * aBurst operations. The tolerance is added to the depth, less a margin for
 * clocks that run at slightly different speeds.
 */
Allotment
MakeAllotment(double aPerSecond, double aBurst, const Tolerance& aTolerance);

} // namespace Quota
