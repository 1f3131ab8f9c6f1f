#pragma once

#include <LibCore/Scheduler.h>

#include <map>
#include <utility>
#include <vector>

namespace Simulation {

/** Time that passes only when a test lets it, in a fixed order of tasks. */
class VirtualTime final : public Core::Scheduler
{
public:
  Core::Instant Now() const override { return now_; }
  Core::TimerHandle After(Core::Duration aDelay,
                          std::function<void()> aTask) override;
  Core::TimerHandle Every(Core::Duration aPeriod,
                          std::function<void()> aTask) override;
  void DeferFor(Core::Duration aDelay, std::function<void()> aTask) override;

  /** Runs all that is due until aEnd, and stops there. */
  void RunUntil(Core::Instant aEnd);

  /** Drops all that is planned, while what it refers to still exists. */
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
 * One process's share of the time: while it is frozen its tasks wait, and
 * what it had planned dies with it.
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
  /** Drops everything planned; the actor can be used anew afterwards. */
  void Kill();
  bool IsFrozen() const { return isFrozen_; }
  /** Tells the actor's lives apart: an answer to an earlier one is lost. */
  int Life() const { return life_; }

private:
  std::function<void()> Guard(std::function<void()> aTask);

  VirtualTime& time_;
  bool isFrozen_ = false;
  /** Counts lives; a task of an earlier life does nothing. */
  int life_ = 0;
  std::vector<std::function<void()>> held_;
  /** The timers of this life, which a kill empties. */
  std::vector<std::weak_ptr<std::function<void()>>> timers_;
};

} // namespace Simulation
