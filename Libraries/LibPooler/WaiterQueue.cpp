#include <LibPooler/WaiterQueue.h>

#include <algorithm>
#include <tuple>

namespace Pooler {

void
WaiterQueue::Add(Waiter aWaiter)
{
  Waiters& waiters = customers_[aWaiter.requirements.customer];
  const Rank rank = RankOf(aWaiter);
  waiters.emplace(rank, std::move(aWaiter));
  ++size_;
}

void
WaiterQueue::Cancel(std::uint64_t aTicket)
{
  for (auto customer = customers_.begin(); customer != customers_.end();
       ++customer) {
    Waiters& waiters = customer->second;
    const auto removed = std::erase_if(waiters, [aTicket](const auto& aEntry) {
      return aEntry.second.ticket == aTicket;
    });
    if (removed == 0)
      continue;
    --size_;
    if (waiters.empty())
      customers_.erase(customer);
    return;
  }
}

std::vector<const Waiter*>
WaiterQueue::Next(Core::Instant aFinishedAt,
                  const FairShare& aShares,
                  Core::Instant aNow) const
{
  struct Candidate
  {
    bool isOverdue;
    double used;
    const Waiter* waiter;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(customers_.size());
  for (const auto& [customer, waiters] : customers_) {
    const auto inTime = waiters.lower_bound({ aFinishedAt, 0 });
    const bool isOverdue = inTime == waiters.end();
    const auto& entry = isOverdue ? *waiters.begin() : *inTime;
    candidates.push_back(
      { isOverdue, aShares.UsedLately(customer, aNow), &entry.second });
  }
  std::sort(
    candidates.begin(),
    candidates.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return std::tuple(aLeft.isOverdue, aLeft.used, RankOf(*aLeft.waiter)) <
             std::tuple(aRight.isOverdue, aRight.used, RankOf(*aRight.waiter));
    });
  std::vector<const Waiter*> next;
  next.reserve(candidates.size());
  for (const Candidate& candidate : candidates)
    next.push_back(candidate.waiter);
  return next;
}

Waiter
WaiterQueue::Take(const Waiter& aWaiter)
{
  const auto customer = customers_.find(aWaiter.requirements.customer);
  auto node = customer->second.extract(RankOf(aWaiter));
  --size_;
  if (customer->second.empty())
    customers_.erase(customer);
  return std::move(node.mapped());
}

std::vector<Waiter>
WaiterQueue::TakeAll()
{
  std::vector<Waiter> all;
  all.reserve(static_cast<std::size_t>(size_));
  for (auto& [customer, waiters] : std::exchange(customers_, {})) {
    for (auto& [rank, waiter] : waiters)
      all.push_back(std::move(waiter));
  }
  size_ = 0;
  std::sort(
    all.begin(), all.end(), [](const Waiter& aLeft, const Waiter& aRight) {
      return RankOf(aLeft) < RankOf(aRight);
    });
  return all;
}

int
WaiterQueue::CountOf(const std::string& aCustomer) const
{
  const auto customer = customers_.find(aCustomer);
  return customer == customers_.end()
           ? 0
           : static_cast<int>(customer->second.size());
}

std::optional<Core::Instant>
WaiterQueue::OldestSince() const
{
  std::optional<Core::Instant> oldest;
  for (const auto& [customer, waiters] : customers_) {
    for (const auto& [rank, waiter] : waiters)
      oldest = std::min(oldest.value_or(waiter.since), waiter.since);
  }
  return oldest;
}

} // namespace Pooler
