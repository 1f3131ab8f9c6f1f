#include <LibFailover/FailureDetector.h>

#include <algorithm>

namespace Failover {

namespace {

/** Each response moves the mean and the deviation by 1/8 of the error. */
constexpr int kSmoothingDivisor = 8;
/**
 * The slowest expected response time is the mean plus this many deviations.
 */
constexpr int kToleratedDeviations = 8;
/** The suspicion timeout, in multiples of the slowest expected time. */
constexpr int kToleratedMisses = 3;

} // namespace

FailureDetector::FailureDetector(Core::Duration aFloor, Core::Instant aNow)
  : floor_(aFloor)
  , lastResponseAt_(aNow)
{
}

void
FailureDetector::OnProbeResponse(Core::Instant aRequestedAt, Core::Instant aNow)
{
  lastResponseAt_ = std::max(lastResponseAt_, aNow);
  const Core::Duration responseTime = aNow - aRequestedAt;
  const Core::Duration error = responseTime > meanResponseTime_
                                 ? responseTime - meanResponseTime_
                                 : meanResponseTime_ - responseTime;
  meanResponseTime_ += (responseTime - meanResponseTime_) / kSmoothingDivisor;
  deviation_ += (error - deviation_) / kSmoothingDivisor;
}

void
FailureDetector::OnPause(Core::Instant aNow)
{
  lastResponseAt_ = aNow;
}

Core::Duration
FailureDetector::SuspicionTimeout() const
{
  const Core::Duration slowestExpected =
    meanResponseTime_ + deviation_ * kToleratedDeviations;
  return std::max(floor_, slowestExpected * kToleratedMisses);
}

Core::Duration
FailureDetector::TimeSinceResponse(Core::Instant aNow) const
{
  return aNow - lastResponseAt_;
}

bool
FailureDetector::IsSuspect(Core::Instant aNow) const
{
  return TimeSinceResponse(aNow) > SuspicionTimeout();
}

} // namespace Failover
