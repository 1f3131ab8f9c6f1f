#include <LibQuota/QuotaShares.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace Quota {

namespace {

using namespace std::chrono_literals;

/** How often the share of a customer in use is renewed. */
constexpr Core::Duration kRenewalInterval = 1000ms;
/** A customer without renewal for this long is renewed with any request. */
constexpr Core::Duration kEarlyRenewal = 700ms;
/** How long the holder isn't asked again after it had too little. */
constexpr Core::Duration kExhaustedPause = 250ms;
/** Recent demand is averaged over about this time. */
constexpr double kDemandSeconds = 3;
/** Below this demand (operations a second), a share isn't renewed. */
constexpr double kIdleDemand = 0.1;
/** More waiting operations of one customer are refused. */
constexpr std::size_t kMaxWaiters = 256;
/** The interval between requests that a new holder hasn't accepted yet. */
constexpr Core::Duration kReportInterval = 200ms;

} // namespace

QuotaShares::QuotaShares(Core::Scheduler& aScheduler,
                         ShareLink& aLink,
                         std::string aNode)
  : scheduler_(aScheduler)
  , link_(aLink)
  , node_(std::move(aNode))
{
}

QuotaShares::~QuotaShares()
{
  *alive_ = false;
}

void
QuotaShares::SetLimited(std::set<std::string> aCustomers)
{
  limited_ = std::move(aCustomers);
}

void
QuotaShares::OnNewHolder()
{
  mustReport_ = true;
  nextReportAt_ = scheduler_.Now();
}

void
QuotaShares::DecayDemand(Customer& aCustomer, Core::Instant aNow)
{
  if (aCustomer.demand > 0) {
    const std::chrono::duration<double> elapsed = aNow - aCustomer.demandAt;
    aCustomer.demand *= std::exp(-elapsed.count() / kDemandSeconds);
  }
  aCustomer.demandAt = aNow;
}

void
QuotaShares::AddDemand(Customer& aCustomer, Core::Instant aNow)
{
  DecayDemand(aCustomer, aNow);
  aCustomer.demand += 1 / kDemandSeconds;
}

Decision
QuotaShares::Admit(const std::string& aCustomer)
{
  if (!limited_.contains(aCustomer))
    return Decision::Admitted;
  Customer& customer = customers_[aCustomer];
  const Core::Instant now = scheduler_.Now();
  AddDemand(customer, now);
  DropEndedWaiters(customer);
  // Operations that wait come first.
  if (customer.waiters.empty() && customer.bucket.TryTake(now)) {
    ++customer.usage.admitted;
    return Decision::Admitted;
  }
  if (now < customer.exhaustedUntil) {
    ++customer.usage.refusedBeyondQuota;
    return Decision::Refused;
  }
  if (!link_.IsReachable() || customer.waiters.size() >= kMaxWaiters) {
    ++customer.usage.refusedWithoutShare;
    return Decision::Refused;
  }
  return Decision::Pending;
}

QuotaShares::WaitHandle
QuotaShares::Wait(const std::string& aCustomer,
                  Core::Duration aLimit,
                  std::function<void(bool)> aDone)
{
  auto waiter = std::make_shared<Waiter>();
  waiter->done = std::move(aDone);
  waiter->timer = scheduler_.After(
    aLimit, [this, aCustomer, ended = std::weak_ptr<Waiter>(waiter)] {
      OnWaitEnded(aCustomer, ended);
    });
  customers_[aCustomer].waiters.push_back(waiter);
  RequestSoon();
  return { nullptr, [ended = std::weak_ptr<Waiter>(waiter)](void*) {
            if (const auto current = ended.lock())
              current->done = nullptr;
          } };
}

void
QuotaShares::OnWaitEnded(const std::string& aCustomer,
                         const std::weak_ptr<Waiter>& aWaiter)
{
  const auto waiter = aWaiter.lock();
  if (waiter == nullptr || !waiter->done)
    return;
  Customer& customer = customers_[aCustomer];
  const bool isAdmitted = customer.bucket.TryTake(scheduler_.Now());
  ++(isAdmitted ? customer.usage.admitted : customer.usage.refusedWithoutShare);
  std::exchange(waiter->done, nullptr)(isAdmitted);
}

void
QuotaShares::DropEndedWaiters(Customer& aCustomer)
{
  std::erase_if(aCustomer.waiters, [](const std::shared_ptr<Waiter>& aWaiter) {
    return !aWaiter->done;
  });
}

void
QuotaShares::RequestSoon()
{
  if (isRequestPending_ || std::exchange(isRequestScheduled_, true))
    return;
  scheduler_.Defer([this, alive = alive_] {
    if (!*alive)
      return;
    isRequestScheduled_ = false;
    SendRequest();
  });
}

void
QuotaShares::Tick()
{
  if (isRequestPending_)
    return;
  const Core::Instant now = scheduler_.Now();
  const bool isDue =
    (MustReport() && now >= nextReportAt_) ||
    std::any_of(customers_.begin(), customers_.end(), [&](auto& aEntry) {
      Customer& customer = aEntry.second;
      return limited_.contains(aEntry.first) && IsDue(customer, now) &&
             (customer.requestedAt == Core::Instant::min() ||
              now - customer.requestedAt >= kRenewalInterval);
    });
  if (isDue)
    SendRequest();
}

bool
QuotaShares::IsDue(Customer& aCustomer, Core::Instant aNow) const
{
  DropEndedWaiters(aCustomer);
  if (!aCustomer.waiters.empty() ||
      aCustomer.requestedAt == Core::Instant::min())
    return true;
  if (aNow - aCustomer.requestedAt < kEarlyRenewal)
    return false;
  DecayDemand(aCustomer, aNow);
  aCustomer.bucket.Advance(aNow);
  const bool isInUse =
    aCustomer.bucket.Rate() > 0 && aCustomer.demand >= kIdleDemand;
  const bool hasToConfirm =
    aCustomer.reportedDepth > 0 && aCustomer.bucket.Depth() == 0;
  return isInUse || hasToConfirm;
}

void
QuotaShares::SendRequest()
{
  if (isRequestPending_ || !link_.IsReachable())
    return;
  const Core::Instant now = scheduler_.Now();
  ShareRequest request{ node_, term_, counter_ + 1 };
  for (auto& [name, customer] : customers_) {
    // The first request of a term that is accepted must list all shares.
    if (!limited_.contains(name) || (isTermAccepted_ && !IsDue(customer, now)))
      continue;
    DecayDemand(customer, now);
    customer.bucket.Advance(now);
    customer.requestedAt = now;
    customer.reportedDepth = customer.bucket.Depth();
    const LeasedBucket& bucket = customer.bucket;
    request.reports.push_back(
      { name,
        bucket.Rate(),
        bucket.Depth(),
        bucket.Stock(),
        customer.demand,
        static_cast<std::int64_t>(customer.waiters.size()) });
  }
  if (request.reports.empty() && !MustReport())
    return;
  nextReportAt_ = now + kReportInterval;
  ++counter_;
  isRequestPending_ = true;
  link_.RequestShares(request,
                      [this, alive = alive_, request, now](
                        const std::optional<ShareResponse>& aResponse) {
                        if (*alive)
                          OnResponse(request, now, aResponse);
                      });
}

void
QuotaShares::OnResponse(const ShareRequest& aRequest,
                        Core::Instant aSentAt,
                        const std::optional<ShareResponse>& aResponse)
{
  isRequestPending_ = false;
  const bool isHolder = aResponse && aResponse->term != 0;
  if (isHolder && aResponse->isAccepted) {
    mustReport_ = false;
    isTermAccepted_ = true;
    ApplyGrants(aRequest, aSentAt, *aResponse);
    return;
  }
  if (!isHolder || aResponse->term == term_)
    return;
  // The new holder has to see all shares, in a request that names its term.
  term_ = aResponse->term;
  isTermAccepted_ = false;
  for (auto& [name, customer] : customers_)
    customer.requestedAt = Core::Instant::min();
  RequestSoon();
}

void
QuotaShares::ApplyGrants(const ShareRequest& aRequest,
                         Core::Instant aSentAt,
                         const ShareResponse& aResponse)
{
  const Core::Instant now = scheduler_.Now();
  std::map<std::string, ShareGrant> grants;
  for (const ShareGrant& grant : aResponse.grants)
    grants[grant.customer] = grant;
  Outcome outcome;
  bool hasWaiters = false;
  for (const ShareReport& report : aRequest.reports) {
    Customer& customer = customers_[report.customer];
    const ShareGrant& grant = grants[report.customer];
    customer.bucket.Renew(grant.rate,
                          grant.depth,
                          grant.tokens,
                          aSentAt + LeaseOf(grant.rate),
                          now);
    ServeWaiters(customer, report.waiting, outcome);
    hasWaiters = hasWaiters || !customer.waiters.empty();
  }
  if (hasWaiters)
    RequestSoon();
  Notify(outcome);
}

void
QuotaShares::Notify(const Outcome& aOutcome)
{
  // A handler may start further operations, or end other waits.
  const auto notify = [](const std::shared_ptr<Waiter>& aWaiter,
                         bool aAdmitted) {
    if (aWaiter->done)
      std::exchange(aWaiter->done, nullptr)(aAdmitted);
  };
  for (const auto& waiter : aOutcome.admitted)
    notify(waiter, true);
  for (const auto& waiter : aOutcome.refused)
    notify(waiter, false);
}

void
QuotaShares::ServeWaiters(Customer& aCustomer,
                          std::int64_t aAnswered,
                          Outcome& aOutcome)
{
  const Core::Instant now = scheduler_.Now();
  DropEndedWaiters(aCustomer);
  std::uint64_t refused = 0;
  for (; !aCustomer.waiters.empty(); --aAnswered) {
    const bool isAdmitted = aCustomer.bucket.TryTake(now);
    // Those that the request didn't count are in the next one.
    if (!isAdmitted && aAnswered <= 0)
      break;
    ++(isAdmitted ? aCustomer.usage.admitted : refused);
    auto& decided = isAdmitted ? aOutcome.admitted : aOutcome.refused;
    decided.push_back(std::move(aCustomer.waiters.front()));
    aCustomer.waiters.pop_front();
  }
  if (refused == 0)
    return;
  aCustomer.usage.refusedBeyondQuota += refused;
  aCustomer.exhaustedUntil = now + kExhaustedPause;
}

std::map<std::string, Usage>
QuotaShares::UsageByCustomer() const
{
  std::map<std::string, Usage> usage;
  for (const auto& [name, customer] : customers_) {
    usage[name] = customer.usage;
    usage[name].rate = customer.bucket.Rate();
  }
  return usage;
}

} // namespace Quota
