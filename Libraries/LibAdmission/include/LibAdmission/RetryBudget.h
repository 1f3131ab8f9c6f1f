#pragma once

#include <cstdint>

namespace Admission {

/**
 * Bounds retries to a share of first attempts, so that a brown-out is not
 * answered with more load.
 */
class RetryBudget
{
public:
  explicit RetryBudget(std::int64_t aPercent)
    : percent_(aPercent)
  {
  }
  void SetPercent(std::int64_t aPercent) { percent_ = aPercent; }

  /** Counts a first attempt, which earns a part of a retry. */
  void RecordFirstAttempt();

  /** Spends one retry if there is one. */
  bool TryRetry();

private:
  std::int64_t percent_;
  /** In hundredths of a retry; starts with a few for a quiet home. */
  std::int64_t hundredths_ = 1000;
};

} // namespace Admission
