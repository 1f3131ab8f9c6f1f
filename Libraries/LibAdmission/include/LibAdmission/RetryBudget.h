#pragma once

#include <cstdint>

namespace Admission {

/**
 * Limits retries to a percentage of first attempts, so that retries don't add
 * to the load of an overloaded database.
 */
class RetryBudget
{
public:
  /** aPercent is the number of retries allowed per 100 first attempts. */
  explicit RetryBudget(std::int64_t aPercent)
    : percent_(aPercent)
  {
  }
  void SetPercent(std::int64_t aPercent) { percent_ = aPercent; }

  /** Counts a first attempt, which adds to the budget. */
  void RecordFirstAttempt();

  /** Takes one retry from the budget. Returns false if there is none. */
  bool TryRetry();

private:
  std::int64_t percent_;
  /**
   * The budget, in hundredths of a retry. It starts with 10 retries, so that a
   * node with few requests can retry.
   */
  std::int64_t savedHundredths_ = 1000;
};

} // namespace Admission
