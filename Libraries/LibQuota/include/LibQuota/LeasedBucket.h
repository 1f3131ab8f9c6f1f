#pragma once

#include <LibCore/Clock.h>

namespace Quota {

/** A token bucket that is empty, and stays so, once its lease has ended. */
class LeasedBucket
{
public:
  /**
   * Replaces the rate, the depth and the end of the lease. The stock is kept
   * if the former lease is still valid, increased by aTokens and cut to the
   * new depth.
   */
  void Renew(double aRate,
             double aDepth,
             double aTokens,
             Core::Instant aLeaseEnd,
             Core::Instant aNow);

  /** Takes one token. Returns false if there is none. */
  bool TryTake(Core::Instant aNow);

  /** Returns a token that was taken but not used. */
  void Return(Core::Instant aNow);

  /** Empties the bucket if its lease has ended. */
  void Advance(Core::Instant aNow);

  double Rate() const { return rate_; }
  double Depth() const { return depth_; }
  double Stock() const { return stock_; }

private:
  double rate_ = 0;
  double depth_ = 0;
  double stock_ = 0;
  Core::Instant advancedAt_ = Core::Instant::min();
  Core::Instant leaseEnd_ = Core::Instant::min();
};

} // namespace Quota
