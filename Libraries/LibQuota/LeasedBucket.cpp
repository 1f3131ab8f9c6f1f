#include <LibQuota/LeasedBucket.h>

#include <algorithm>
#include <chrono>

namespace Quota {

void
LeasedBucket::Advance(Core::Instant aNow)
{
  if (aNow >= leaseEnd_) {
    rate_ = 0;
    depth_ = 0;
    stock_ = 0;
    return;
  }
  if (aNow <= advancedAt_)
    return;
  const std::chrono::duration<double> elapsed = aNow - advancedAt_;
  stock_ = std::min(depth_, stock_ + rate_ * elapsed.count());
  advancedAt_ = aNow;
}

void
LeasedBucket::Renew(double aRate,
                    double aDepth,
                    double aTokens,
                    Core::Instant aLeaseEnd,
                    Core::Instant aNow)
{
  Advance(aNow);
  rate_ = aRate;
  depth_ = aDepth;
  stock_ = std::min(depth_, stock_ + aTokens);
  advancedAt_ = aNow;
  leaseEnd_ = aLeaseEnd;
  Advance(aNow);
}

bool
LeasedBucket::TryTake(Core::Instant aNow)
{
  Advance(aNow);
  if (stock_ < 1)
    return false;
  stock_ -= 1;
  return true;
}

void
LeasedBucket::Return(Core::Instant aNow)
{
  Advance(aNow);
  stock_ = std::min(depth_, stock_ + 1);
}

} // namespace Quota
