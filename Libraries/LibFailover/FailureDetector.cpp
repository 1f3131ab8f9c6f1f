#include <LibFailover/FailureDetector.h>

#include <algorithm>

namespace Failover {

namespace {

/** How much one answer moves the mean and the deviation. */
constexpr int kSmoothing = 8;
/** Deviations beyond the mean that an answer may take. */
constexpr int kToleratedDeviations = 8;
/** Missed answers of that length before a database is suspected. */
constexpr int kToleratedMisses = 3;

} // namespace

FailureDetector::FailureDetector(Core::Duration aFloor, Core::Instant aNow)
  : floor_(aFloor)
  , lastAnswer_(aNow)
{
}

void
FailureDetector::OnAnswer(Core::Instant aRequestedAt, Core::Instant aNow)
{
  lastAnswer_ = std::max(lastAnswer_, aNow);
  const Core::Duration time = aNow - aRequestedAt;
  const Core::Duration error = time > mean_ ? time - mean_ : mean_ - time;
  mean_ += (time - mean_) / kSmoothing;
  deviation_ += (error - deviation_) / kSmoothing;
}

void
FailureDetector::OnPause(Core::Instant aNow)
{
  lastAnswer_ = aNow;
}

Core::Duration
FailureDetector::Limit() const
{
  const Core::Duration slowest = mean_ + deviation_ * kToleratedDeviations;
  return std::max(floor_, slowest * kToleratedMisses);
}

Core::Duration
FailureDetector::SilentFor(Core::Instant aNow) const
{
  return aNow - lastAnswer_;
}

bool
FailureDetector::IsSuspect(Core::Instant aNow) const
{
  return SilentFor(aNow) > Limit();
}

} // namespace Failover
