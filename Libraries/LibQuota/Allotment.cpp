#include <LibQuota/Allotment.h>

#include <algorithm>
#include <chrono>

namespace Quota {

namespace {

/** The part of the tolerance that covers differing clock rates. */
constexpr double kClockMargin = 0.02;

} // namespace

Allotment
MakeAllotment(double aPerSecond, double aBurst, const Tolerance& aTolerance)
{
  const double seconds =
    std::chrono::duration<double>(aTolerance.window).count();
  const double excess =
    aTolerance.overrun * (aPerSecond * seconds + aBurst) + aTolerance.slack;
  Allotment allotment;
  allotment.rate = std::max(0.0, aPerSecond);
  allotment.depth = std::max(0.0, aBurst) + excess * (1 - kClockMargin);
  return allotment;
}

} // namespace Quota
