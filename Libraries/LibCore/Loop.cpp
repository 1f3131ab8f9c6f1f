#include <LibCore/Loop.h>

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace Core {

namespace {

timeval
ToInterval(Duration aDelay)
{
  aDelay = std::max(aDelay, Duration::zero());
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aDelay);
  return { seconds.count(), (aDelay - seconds).count() };
}

} // namespace

/** A libevent event that runs a task: on a timer or on a signal. */
class Timer
{
public:
  Timer(event_base* aBase,
        int aSignal,
        short aFlags,
        std::function<void()> aTask)
    : task_(std::move(aTask))
    , event_(event_new(aBase, aSignal, aFlags, &Timer::Fire, this))
  {
  }
  ~Timer() { event_free(event_); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Arm(Duration aDelay)
  {
    const timeval interval = ToInterval(aDelay);
    event_add(event_, &interval);
  }
  void ArmWithoutTimeout() { event_add(event_, nullptr); }

private:
  static void Fire(int, short, void* aSelf)
  {
    // The task may destroy this Timer, so run a copy of the task.
    const std::function<void()> task = static_cast<Timer*>(aSelf)->task_;
    task();
  }

  std::function<void()> task_;
  event* event_;
};

namespace {

/**
 * Creates an event base with precise timers. By default, libevent uses the
 * coarse clock, which rounds timers up to 4 ms.
 */
event_base*
NewPreciseBase()
{
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

} // namespace

Loop::Loop()
  : base_(NewPreciseBase())
{
  // libevent's writes raise it for a connection that the peer has reset.
  std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop()
{
  signals_.clear();
  // Deferred tasks may own connections, which need the event base to close.
  // Closing a connection may defer another task.
  while (!deferred_.empty()) {
    const auto dropped = std::exchange(deferred_, {});
  }
  event_base_free(base_);
}

TimerHandle
Loop::After(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<Timer>(base_, -1, 0, std::move(aTask));
  timer->Arm(aDelay);
  return timer;
}

TimerHandle
Loop::Every(Duration aPeriod, std::function<void()> aTask)
{
  auto timer = std::make_shared<Timer>(base_, -1, EV_PERSIST, std::move(aTask));
  timer->Arm(aPeriod);
  return timer;
}

void
Loop::DeferFor(Duration aDelay, std::function<void()> aTask)
{
  auto owned =
    std::make_unique<DeferredTask>(DeferredTask{ *this, std::move(aTask) });
  DeferredTask* task = owned.get();
  deferred_.emplace(task, std::move(owned));
  const timeval interval = ToInterval(aDelay);
  event_base_once(
    base_,
    -1,
    EV_TIMEOUT,
    [](int, short, void* aTaskPointer) {
      auto* due = static_cast<DeferredTask*>(aTaskPointer);
      const auto running = due->loop.deferred_.extract(due);
      due->task();
    },
    task,
    &interval);
}

void
Loop::OnSignal(int aNumber, std::function<void()> aTask)
{
  auto timer = std::make_shared<Timer>(
    base_, aNumber, EV_SIGNAL | EV_PERSIST, std::move(aTask));
  timer->ArmWithoutTimeout();
  signals_.push_back(std::move(timer));
}

void
Loop::Run()
{
  event_base_dispatch(base_);
}

void
Loop::Stop()
{
  event_base_loopbreak(base_);
}

} // namespace Core
