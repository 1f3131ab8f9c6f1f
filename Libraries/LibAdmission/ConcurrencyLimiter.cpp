#include <LibAdmission/ConcurrencyLimiter.h>

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/**
 * The limit is reviewed after this time at the earliest, and after this many
 * answers: times vary so much that fewer show little.
 */
constexpr Core::Duration kMinWindow = std::chrono::milliseconds(400);
constexpr int kMinAnswers = 20;

/**
 * Times above the lowest by this factor are a sign of too many statements. As
 * many statements may then wait inside the database as run there, so that it
 * isn't idle between two statements of one node.
 */
constexpr double kTolerance = 2.0;

/** The limit grows only if times are below the lowest times this factor. */
constexpr double kGrowthTolerance = 1.6;

/** The smallest limit, as a share of the largest. */
constexpr double kMinShare = 0.125;

/** The first limit, as a share of the largest. */
constexpr double kFirstShare = 0.25;

/** Bounds of a decrease by one review. */
constexpr double kLargestDecrease = 0.5;
constexpr double kSmallestDecrease = 0.8;

/** Growth by one review, until the limit has been too high once. */
constexpr double kFirstGrowth = 1.25;

/** How far the lowest deviation follows a lower or higher one by a review. */
constexpr double kLowerWeight = 0.1;
constexpr double kHigherWeight = 0.005;

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(int aMax)
  : max_(std::max(aMax, 1))
  , limit_(std::ceil(max_ * kFirstShare))
{
}

void
ConcurrencyLimiter::SetMax(int aMax)
{
  const bool isFirst = window_.answers == 0 && !hasLowest_;
  max_ = std::max(aMax, 1);
  limit_ = isFirst ? std::ceil(max_ * kFirstShare)
                   : std::clamp<double>(limit_, Min(), max_);
}

int
ConcurrencyLimiter::Limit() const
{
  return static_cast<int>(limit_);
}

int
ConcurrencyLimiter::Min() const
{
  return std::max(static_cast<int>(std::ceil(max_ * kMinShare)), 1);
}

void
ConcurrencyLimiter::ObserveAnswer(Core::Instant aNow,
                                  Core::Instant aSentAt,
                                  double aDeviation,
                                  int aRunning)
{
  // It still shows the times before the limit was lowered.
  if (aSentAt < decreasedAt_)
    return;
  if (window_.answers == 0 && !window_.hasRefusal)
    window_.since = aNow;
  ++window_.answers;
  window_.deviations += aDeviation;
  window_.mostRunning = std::max(window_.mostRunning, aRunning);
  if (IsWindowOver(aNow))
    EndWindow(aNow);
}

void
ConcurrencyLimiter::ObserveRefusal(Core::Instant aNow)
{
  if (window_.answers == 0 && !window_.hasRefusal)
    window_.since = aNow;
  window_.hasRefusal = true;
  if (IsWindowOver(aNow))
    EndWindow(aNow);
}

bool
ConcurrencyLimiter::IsWindowOver(Core::Instant aNow) const
{
  return aNow - window_.since >= kMinWindow &&
         (window_.answers >= kMinAnswers || window_.hasRefusal);
}

void
ConcurrencyLimiter::EndWindow(Core::Instant aNow)
{
  const Window ended = window_;
  window_ = { .since = aNow };
  if (ended.hasRefusal) {
    Decrease(aNow, kLargestDecrease);
    return;
  }
  const double deviation = ended.deviations / ended.answers;
  FollowLowest(deviation);
  const double excess = std::exp(deviation - lowest_);
  const bool wasAtMin = ended.mostRunning <= Min();
  if (excess > kTolerance && wasAtMin) {
    lowest_ = deviation;
    return;
  }
  if (excess > kTolerance)
    Decrease(
      aNow,
      std::clamp(kTolerance / excess, kLargestDecrease, kSmallestDecrease));
  else if (excess < kGrowthTolerance && ended.mostRunning >= Limit())
    Increase();
}

void
ConcurrencyLimiter::FollowLowest(double aDeviation)
{
  if (!hasLowest_) {
    hasLowest_ = true;
    lowest_ = aDeviation;
    return;
  }
  const double weight = aDeviation < lowest_ ? kLowerWeight : kHigherWeight;
  lowest_ += weight * (aDeviation - lowest_);
}

void
ConcurrencyLimiter::Increase()
{
  const double step = hasDecreased_ ? 1 : limit_ * (kFirstGrowth - 1);
  limit_ = std::min<double>(limit_ + std::max(step, 1.0), max_);
}

void
ConcurrencyLimiter::Decrease(Core::Instant aNow, double aFactor)
{
  decreasedAt_ = aNow;
  hasDecreased_ = true;
  limit_ = std::max<double>(limit_ * aFactor, Min());
}

} // namespace Admission
