#pragma once

#include <LibCore/Clock.h>

#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace Core {

/** A timer that is cancelled when the handle goes. */
class Timer;
using TimerHandle = std::shared_ptr<Timer>;

/** The process's one event loop, on its one thread. */
class Loop final : public Clock
{
public:
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Instant Now() const override { return clock_.Now(); }

  /** Runs aTask once after aDelay, unless the handle is dropped before. */
  [[nodiscard]] TimerHandle After(Duration aDelay, std::function<void()> aTask);

  /** Runs aTask every aPeriod until the handle is dropped. */
  [[nodiscard]] TimerHandle Every(Duration aPeriod,
                                  std::function<void()> aTask);

  /**
   * Runs aTask once, after the current callback has returned and aDelay has
   * passed; it can't be cancelled.
   */
  void Defer(std::function<void()> aTask, Duration aDelay = Duration::zero());

  /** Runs aTask whenever the process gets signal aNumber. */
  void OnSignal(int aNumber, std::function<void()> aTask);

  void Run();
  void Stop();

  event_base* Base() const { return base_; }

private:
  MonotonicClock clock_;
  event_base* base_;
  std::vector<TimerHandle> signals_;
};

} // namespace Core
