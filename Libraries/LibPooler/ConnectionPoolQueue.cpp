// Which waiter of a pool gets a connection next, and which connection.

#include <LibPooler/ConnectionPool.h>

namespace Pooler {

void
ConnectionPool::Give(const PooledConnectionHandle& aConnection,
                     const Receiver& aReceiver)
{
  ++inUse_;
  if (capacity_ != nullptr)
    used_.insert(aConnection);
  const Core::Instant now = scheduler_.Now();
  aConnection->BeginUse(now);
  shares_.BeginUse(aConnection->Customer(), now);
  aReceiver(aConnection, PoolRefusal::None);
}

PooledConnectionHandle
ConnectionPool::UnwantedIdle() const
{
  return idle_.LeastRecentWhere([this](const std::string& aCustomer) {
    return waiters_.CountOf(aCustomer) == 0;
  });
}

PoolStep
ConnectionPool::NextStep(const std::vector<const Waiter*>& aNext) const
{
  std::vector<PoolDemand> demands;
  demands.reserve(aNext.size());
  for (const Waiter* waiter : aNext) {
    const std::string& customer = waiter->requirements.customer;
    demands.push_back({ idle_.HasFor(waiter->requirements),
                        waiters_.CountOf(customer),
                        dials_.CountFor(customer),
                        shares_.CurrentUses(customer) });
  }
  PoolSupply supply;
  const int open = OpenOwn() + dials_.Count();
  supply.hasRoom = open < limit_;
  const Core::Instant now = scheduler_.Now();
  // Above a lowered limit, a replacement would only delay the decrease.
  const PooledConnectionHandle unwanted =
    open <= limit_ ? UnwantedIdle() : nullptr;
  supply.hasUnwantedIdle = unwanted != nullptr;
  supply.hasUnusedIdle = unwanted != nullptr && now - unwanted->IdleSince() >=
                                                  kMinIdleBeforeReplacement;
  supply.mayDial = dials_.MayBegin(now);
  supply.reusesOutOfOrder = open <= limit_ ? reusesOutOfOrder_ : 0;
  return NextPoolStep(demands, supply);
}

void
ConnectionPool::Serve()
{
  const std::shared_ptr<bool> alive = alive_;
  while (!waiters_.IsEmpty() && !isRetired_ && MayBeginMore()) {
    const Core::Instant now = scheduler_.Now();
    const auto next = waiters_.Next(now + AverageLatency(), shares_, now);
    const PoolStep step = NextStep(next);
    if (step.action == PoolAction::Wait) {
      PlanRetry();
      return;
    }
    Perform(step, *next[step.demand]);
    if (!*alive)
      return;
  }
}

void
ConnectionPool::Perform(const PoolStep& aStep, const Waiter& aWaiter)
{
  const std::string customer = aWaiter.requirements.customer;
  switch (aStep.action) {
    case PoolAction::Wait:
      return;
    case PoolAction::ReuseOutOfOrder:
      ++reusesOutOfOrder_;
      ++counts_.reusesOutOfOrder;
      [[fallthrough]];
    case PoolAction::Reuse: {
      const Waiter waiter = waiters_.Take(aWaiter);
      Give(idle_.Take(waiter.requirements), waiter.receiver);
      return;
    }
    case PoolAction::ReplaceUnwanted:
      idle_.Remove(UnwantedIdle());
      ++counts_.replacements;
      break;
    case PoolAction::ReplaceWanted:
      idle_.CloseOne();
      ++counts_.replacements;
      break;
    case PoolAction::Dial:
      break;
  }
  Dial(customer);
}

void
ConnectionPool::PlanRetry()
{
  if (retry_ != nullptr)
    return;
  const Core::Instant now = scheduler_.Now();
  Core::Instant when = now;
  if (dials_.AreSuspended(now))
    when = dials_.SuspendedUntil();
  else if (const auto unwanted = UnwantedIdle())
    when = unwanted->IdleSince() + kMinIdleBeforeReplacement;
  if (when <= now)
    return;
  retry_ = scheduler_.After(when - now, [this] {
    retry_.reset();
    Serve();
  });
}

} // namespace Pooler
