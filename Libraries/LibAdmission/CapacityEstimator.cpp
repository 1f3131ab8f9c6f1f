#include <LibAdmission/CapacityEstimator.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Admission {

namespace {

/**
 * Weight of the newest statement in a database's slowness. It grows with the
 * time since the previous one, so that a node that sends few statements follows
 * changes as well.
 */
constexpr double kMinWeight = 0.02;
constexpr double kMaxWeight = 0.25;
constexpr Core::Duration kFullWeightAfter = std::chrono::seconds(2);

/** Weight of what another node reports. */
constexpr double kAdoptedWeight = 0.3;

/** Bounds what a single statement can contribute: a factor of about 20. */
constexpr double kMaxDeviation = 3.0;

/**
 * A failure counts like a statement that took this many times as long as
 * usual, so that a database isn't preferred for failing fast.
 */
constexpr double kFailureFactor = 20;

/** After this time without an observation the estimate begins to expire. */
constexpr Core::Duration kEstimateLifetime = std::chrono::seconds(10);

/** The time in which the logarithm of an expiring estimate halves. */
constexpr Core::Duration kEstimateHalfLife = std::chrono::seconds(5);

} // namespace

CapacityEstimator::CapacityEstimator(std::shared_ptr<WorkTimes> aTimes,
                                     int aMaxConcurrency)
  : times_(std::move(aTimes))
  , limiter_(aMaxConcurrency)
{
}

void
CapacityEstimator::ObserveAnswer(Core::Instant aNow,
                                 std::string_view aKind,
                                 Core::Duration aTime,
                                 int aRunning)
{
  const double deviation = times_->Observe(aKind, aTime, LogSlowness(aNow));
  Learn(aNow, deviation, WeightAt(aNow));
  observedAt_ = aNow;
  limiter_.ObserveAnswer(aNow, aNow - aTime, deviation, aRunning);
}

void
CapacityEstimator::ObserveRefusal(Core::Instant aNow)
{
  limiter_.ObserveRefusal(aNow);
  observedAt_ = aNow;
}

void
CapacityEstimator::ObserveFailure(Core::Instant aNow)
{
  Learn(aNow, std::log(kFailureFactor), WeightAt(aNow));
  observedAt_ = aNow;
}

void
CapacityEstimator::Adopt(Core::Instant aNow, double aSlowness)
{
  const double least = std::exp(-kMaxDeviation);
  Learn(aNow, std::log(std::max(aSlowness, least)), kAdoptedWeight);
}

void
CapacityEstimator::Learn(Core::Instant aNow, double aDeviation, double aWeight)
{
  const double known = LogSlowness(aNow);
  const double bounded = std::clamp(aDeviation, -kMaxDeviation, kMaxDeviation);
  logSlowness_ = known + aWeight * (bounded - known);
  learnedAt_ = aNow;
}

double
CapacityEstimator::WeightAt(Core::Instant aNow) const
{
  if (observedAt_ == Core::Instant::min())
    return kMinWeight;
  const double share = static_cast<double>((aNow - observedAt_).count()) /
                       static_cast<double>(kFullWeightAfter.count());
  return std::clamp(share, kMinWeight, kMaxWeight);
}

double
CapacityEstimator::LogSlowness(Core::Instant aNow) const
{
  if (learnedAt_ == Core::Instant::min())
    return 0;
  const Core::Duration expired = aNow - learnedAt_ - kEstimateLifetime;
  if (expired <= Core::Duration::zero())
    return logSlowness_;
  const double halvings = static_cast<double>(expired.count()) /
                          static_cast<double>(kEstimateHalfLife.count());
  return logSlowness_ * std::exp2(-halvings);
}

double
CapacityEstimator::Slowness(Core::Instant aNow) const
{
  return std::exp(LogSlowness(aNow));
}

Core::Duration
CapacityEstimator::StatementTime(Core::Instant aNow) const
{
  const double mean = static_cast<double>(times_->MeanTime().count());
  return Core::Duration(
    static_cast<Core::Duration::rep>(mean * Slowness(aNow)));
}

Core::Duration
CapacityEstimator::ExpectedTime(Core::Instant aNow, int aAhead) const
{
  const double rounds = 1.0 + static_cast<double>(aAhead) / ConcurrencyLimit();
  const double time = static_cast<double>(StatementTime(aNow).count());
  return Core::Duration(static_cast<Core::Duration::rep>(time * rounds));
}

} // namespace Admission
