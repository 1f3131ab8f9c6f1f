#include <LibAdmission/RetryBudget.h>

#include <algorithm>

namespace Admission {

namespace {

constexpr std::int64_t kHundredthsPerRetry = 100;
/** At most 50 unused retries are saved up. */
constexpr std::int64_t kMaxSavedHundredths = 50 * kHundredthsPerRetry;

} // namespace

void
RetryBudget::RecordFirstAttempt()
{
  savedHundredths_ = std::min(kMaxSavedHundredths, savedHundredths_ + percent_);
}

bool
RetryBudget::TryRetry()
{
  if (savedHundredths_ < kHundredthsPerRetry)
    return false;
  savedHundredths_ -= kHundredthsPerRetry;
  return true;
}

} // namespace Admission
