#pragma once

#include <LibCore/Clock.h>

#include <functional>
#include <memory>

namespace Core {

/** A timer that is cancelled when the last handle goes. */
using TimerHandle = std::shared_ptr<void>;

/**
 * Where parts get the time from and leave work for later: the process's event
 * loop, or a test's virtual time.
 */
class Scheduler : public Clock
{
public:
  /** Runs aTask once after aDelay, unless the handle is dropped before. */
  [[nodiscard]] virtual TimerHandle After(Duration aDelay,
                                          std::function<void()> aTask) = 0;

  /** Runs aTask every aPeriod until the handle is dropped. */
  [[nodiscard]] virtual TimerHandle Every(Duration aPeriod,
                                          std::function<void()> aTask) = 0;

  /**
   * Runs aTask once, after the current callback has returned and aDelay has
   * passed; it can't be cancelled.
   */
  virtual void DeferFor(Duration aDelay, std::function<void()> aTask) = 0;

  void Defer(std::function<void()> aTask)
  {
    DeferFor(Duration::zero(), std::move(aTask));
  }
};

} // namespace Core
