#include <LibAdmission/RetryBudget.h>

#include <algorithm>

namespace Admission {

namespace {

constexpr std::int64_t kOneRetry = 100;
/** What a long quiet time may save up: 50 retries. */
constexpr std::int64_t kMostSaved = 50 * kOneRetry;

} // namespace

void
RetryBudget::RecordFirstAttempt()
{
  hundredths_ = std::min(kMostSaved, hundredths_ + percent_);
}

bool
RetryBudget::TryRetry()
{
  if (hundredths_ < kOneRetry)
    return false;
  hundredths_ -= kOneRetry;
  return true;
}

} // namespace Admission
