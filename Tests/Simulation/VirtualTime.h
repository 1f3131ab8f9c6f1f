#pragma once

#include <LibCore/Scheduler.h>

#include <map>
#include <utility>
#include <vector>

namespace Simulation {

/**
 * A clock and scheduler that advances only in RunUntil(). Tasks run by due
 * time, and in the order of scheduling if that is equal.
 */
class VirtualTime final : public Core::Scheduler
{
public:
  Core::Instant Now() const override { return now_; }
  Core::TimerHandle After(Core::Duration aDelay,
                          std::function<void()> aTask) override;
  Core::TimerHandle Every(Core::Duration aPeriod,
                          std::function<void()> aTask) override;
  void DeferFor(Core::Duration aDelay, std::function<void()> aTask) override;

  /** Runs all tasks due until aEnd and sets the time to aEnd. */
  void RunUntil(Core::Instant aEnd);

  /** Drops all tasks; call it while the objects they refer to still exist. */
  void Close();

private:
  void Repeat(Core::Duration aPeriod,
              const std::weak_ptr<std::function<void()>>& aTask);

  Core::Instant now_{ std::chrono::seconds(1) };
  std::uint64_t sequence_ = 0;
  bool isClosed_ = false;
  std::map<std::pair<Core::Instant, std::uint64_t>, std::function<void()>>
    tasks_;
};

/**
 * The scheduler of one simulated process. Freezing the process holds its tasks
 * back; killing it drops them.
 */
class ActorTime final : public Core::Scheduler
{
public:
  explicit ActorTime(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  Core::Instant Now() const override { return time_.Now(); }
  Core::TimerHandle After(Core::Duration aDelay,
                          std::function<void()> aTask) override;
  Core::TimerHandle Every(Core::Duration aPeriod,
                          std::function<void()> aTask) override;
  void DeferFor(Core::Duration aDelay, std::function<void()> aTask) override;

  void Freeze() { isFrozen_ = true; }
  void Thaw();
  /** Drops all scheduled tasks and starts a new incarnation of the actor. */
  void Kill();
  bool IsFrozen() const { return isFrozen_; }
  /** The current incarnation; responses to an earlier one are dropped. */
  int Incarnation() const { return incarnation_; }

private:
  std::function<void()> Guard(std::function<void()> aTask);

  VirtualTime& time_;
  bool isFrozen_ = false;
  /** Incremented by Kill(); tasks of an earlier incarnation do nothing. */
  int incarnation_ = 0;
  std::vector<std::function<void()>> heldTasks_;
  /** The timers of this incarnation; Kill() clears their tasks. */
  std::vector<std::weak_ptr<std::function<void()>>> timers_;
};

} // namespace Simulation
