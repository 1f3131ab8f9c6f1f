#include "VirtualTime.h"

#include <algorithm>

namespace Simulation {

Core::TimerHandle
VirtualTime::After(Core::Duration aDelay, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  DeferFor(aDelay, [weak = std::weak_ptr(task)] {
    if (const auto live = weak.lock())
      (*live)();
  });
  return task;
}

Core::TimerHandle
VirtualTime::Every(Core::Duration aPeriod, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  Repeat(aPeriod, task);
  return task;
}

void
VirtualTime::Repeat(Core::Duration aPeriod,
                    const std::weak_ptr<std::function<void()>>& aTask)
{
  DeferFor(aPeriod, [this, aPeriod, aTask] {
    const auto live = aTask.lock();
    if (!live)
      return;
    Repeat(aPeriod, aTask);
    (*live)();
  });
}

void
VirtualTime::DeferFor(Core::Duration aDelay, std::function<void()> aTask)
{
  if (isClosed_)
    return;
  const Core::Instant due = now_ + std::max(aDelay, Core::Duration::zero());
  tasks_[{ due, ++sequence_ }] = std::move(aTask);
}

void
VirtualTime::RunUntil(Core::Instant aEnd)
{
  while (!tasks_.empty() && tasks_.begin()->first.first <= aEnd) {
    auto next = tasks_.extract(tasks_.begin());
    now_ = next.key().first;
    next.mapped()();
  }
  now_ = aEnd;
}

void
VirtualTime::Close()
{
  isClosed_ = true;
  tasks_.clear();
}

std::function<void()>
ActorTime::Guard(std::function<void()> aTask)
{
  return [this, incarnation = incarnation_, task = std::move(aTask)] {
    if (incarnation != incarnation_)
      return;
    if (isFrozen_)
      heldTasks_.push_back(task);
    else
      task();
  };
}

Core::TimerHandle
ActorTime::After(Core::Duration aDelay, std::function<void()> aTask)
{
  // The task is reached through the handle only, so that releasing the
  // handle also cancels a task that is held back by a freeze.
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  std::erase_if(timers_, [](const auto& aTimer) { return aTimer.expired(); });
  timers_.push_back(task);
  DeferFor(aDelay, [weak = std::weak_ptr(task)] {
    if (const auto live = weak.lock())
      (*live)();
  });
  return task;
}

Core::TimerHandle
ActorTime::Every(Core::Duration aPeriod, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  auto repeat = std::make_shared<std::function<void()>>();
  *repeat =
    [this, aPeriod, weak = std::weak_ptr(task), again = std::weak_ptr(repeat)] {
      const auto live = weak.lock();
      const auto self = again.lock();
      if (!live)
        return;
      DeferFor(aPeriod, [self] { (*self)(); });
      (*live)();
    };
  DeferFor(aPeriod, [repeat] { (*repeat)(); });
  return task;
}

void
ActorTime::DeferFor(Core::Duration aDelay, std::function<void()> aTask)
{
  time_.DeferFor(aDelay, Guard(std::move(aTask)));
}

void
ActorTime::Thaw()
{
  isFrozen_ = false;
  std::vector<std::function<void()>> held;
  held.swap(heldTasks_);
  for (auto& task : held)
    DeferFor(Core::Duration::zero(), std::move(task));
}

void
ActorTime::Kill()
{
  ++incarnation_;
  isFrozen_ = false;
  heldTasks_.clear();
  // Clears the tasks, so that a handle that outlives the process keeps no
  // captured objects alive.
  const auto timers = std::exchange(timers_, {});
  for (const auto& timer : timers) {
    if (const auto live = timer.lock())
      *live = nullptr;
  }
}

} // namespace Simulation
