#include <LibAdmission/WorkTimes.h>

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/** Mean time assumed before the first observation. */
constexpr double kInitialMeanMicroseconds = 15'000;

/** Weight of the newest value in the mean over all kinds. */
constexpr double kMeanWeight = 0.05;

/**
 * The least weight of the newest value in the usual time of a kind. Small, so
 * that a slow database shows as slow before its times become the usual ones.
 */
constexpr double kMinKindWeight = 0.003;

constexpr const char* kSharedKind = "";

} // namespace

WorkTimes::Usual&
WorkTimes::EntryOf(std::string_view aKind)
{
  const auto known = kinds_.find(aKind);
  if (known != kinds_.end())
    return known->second;
  return kinds_.size() < kMaxKinds ? kinds_[std::string(aKind)]
                                   : kinds_[kSharedKind];
}

double
WorkTimes::Observe(std::string_view aKind,
                   Core::Duration aTime,
                   double aLogSlowness)
{
  const double microseconds =
    static_cast<double>(std::max<Core::Duration::rep>(aTime.count(), 1));
  const double logTime = std::log(microseconds);
  Usual& usual = EntryOf(aKind);
  const double weight =
    std::max(1.0 / static_cast<double>(++usual.observations), kMinKindWeight);
  usual.logTime += weight * (logTime - aLogSlowness - usual.logTime);
  ObserveMean(microseconds / std::exp(aLogSlowness));
  return logTime - usual.logTime;
}

void
WorkTimes::ObserveMean(double aMicroseconds)
{
  if (meanMicroseconds_ == 0)
    meanMicroseconds_ = kInitialMeanMicroseconds;
  meanMicroseconds_ += kMeanWeight * (aMicroseconds - meanMicroseconds_);
}

Core::Duration
WorkTimes::MeanTime() const
{
  const double mean =
    meanMicroseconds_ == 0 ? kInitialMeanMicroseconds : meanMicroseconds_;
  return Core::Duration(static_cast<Core::Duration::rep>(mean));
}

} // namespace Admission
