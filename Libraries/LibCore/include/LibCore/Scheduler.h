#pragma once

#include <LibCore/Clock.h>

#include <functional>
#include <memory>

namespace Core {

/** Owns a timer. The timer is cancelled when the last copy is destroyed. */
using TimerHandle = std::shared_ptr<void>;

/**
 * Provides the time and runs tasks later. Implemented by the event loop of the
 * process and by the virtual time of tests.
 */
class Scheduler : public Clock
{
public:
  /** Runs aTask once after aDelay, unless the handle is destroyed before. */
  [[nodiscard]] virtual TimerHandle After(Duration aDelay,
                                          std::function<void()> aTask) = 0;

  /** Runs aTask every aPeriod until the handle is destroyed. */
  [[nodiscard]] virtual TimerHandle Every(Duration aPeriod,
                                          std::function<void()> aTask) = 0;

  /**
   * Runs aTask once, after the current callback has returned and aDelay has
   * elapsed. The task can't be cancelled.
   */
  virtual void DeferFor(Duration aDelay, std::function<void()> aTask) = 0;

  void Defer(std::function<void()> aTask)
  {
    DeferFor(Duration::zero(), std::move(aTask));
  }
};

} // namespace Core
