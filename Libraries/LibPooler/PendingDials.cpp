#include <LibPooler/PendingDials.h>

#include <algorithm>

namespace Pooler {

namespace {

/** Backoff after failed dials: the first delay, doubled up to the maximum. */
constexpr Core::Duration kRedialDelay = std::chrono::milliseconds(50);
constexpr Core::Duration kMaxRedialDelay = std::chrono::milliseconds(800);
constexpr int kMaxDoublings = 5;

} // namespace

void
PendingDials::Begin(const std::string& aCustomer)
{
  ++count_;
  ++countByCustomer_[aCustomer];
}

void
PendingDials::Succeed(const std::string& aCustomer)
{
  End(aCustomer);
  failures_ = 0;
}

void
PendingDials::Fail(const std::string& aCustomer, Core::Instant aNow)
{
  End(aCustomer);
  const int doublings = std::min(failures_++, kMaxDoublings);
  suspendedUntil_ = aNow + std::min<Core::Duration>(
                             kRedialDelay * (1 << doublings), kMaxRedialDelay);
}

void
PendingDials::End(const std::string& aCustomer)
{
  --count_;
  const auto customer = countByCustomer_.find(aCustomer);
  if (--customer->second == 0)
    countByCustomer_.erase(customer);
}

int
PendingDials::CountFor(const std::string& aCustomer) const
{
  const auto customer = countByCustomer_.find(aCustomer);
  return customer == countByCustomer_.end() ? 0 : customer->second;
}

} // namespace Pooler
