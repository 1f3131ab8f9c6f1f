#pragma once

#include <LibCore/Scheduler.h>

#include <functional>
#include <unordered_map>
#include <vector>

struct event_base;

namespace Core {

/**
 * The event loop (libevent) of a single-threaded process. Makes the process
 * ignore SIGPIPE, so that a write to a reset connection fails with an error.
 */
class Loop final : public Scheduler
{
public:
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Instant Now() const override { return clock_.Now(); }

  TimerHandle After(Duration aDelay, std::function<void()> aTask) override;
  TimerHandle Every(Duration aPeriod, std::function<void()> aTask) override;
  void DeferFor(Duration aDelay, std::function<void()> aTask) override;

  /** Runs aTask whenever the process receives signal aNumber. */
  void OnSignal(int aNumber, std::function<void()> aTask);

  void Run();
  void Stop();

  event_base* Base() const { return base_; }

private:
  struct DeferredTask
  {
    Loop& loop;
    std::function<void()> task;
  };

  MonotonicClock clock_;
  event_base* base_;
  std::vector<TimerHandle> signals_;
  std::unordered_map<DeferredTask*, std::unique_ptr<DeferredTask>> deferred_;
};

} // namespace Core
