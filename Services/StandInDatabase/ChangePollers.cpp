#include "ChangePollers.h"

#include <iterator>
#include <utility>

namespace StandIn {

ChangePollers::ChangePollers(Core::Scheduler& aScheduler)
  : scheduler_(aScheduler)
{
}

void
ChangePollers::AnswerOnChange(Core::Duration aWait,
                              const Wire::HttpReplyHandle& aReply,
                              Attempt aTry,
                              std::function<Wire::HttpAnswer()> aLast)
{
  if (auto answer = aTry()) {
    aReply->Send(std::move(*answer));
    return;
  }
  if (aWait == Core::Duration::zero()) {
    aReply->Send(aLast());
    return;
  }
  pollers_.push_back({ aReply, std::move(aTry), std::move(aLast), {} });
  const auto poller = std::prev(pollers_.end());
  poller->timer = scheduler_.After(aWait, [this, poller] {
    const Poller expired = std::move(*poller);
    pollers_.erase(poller);
    expired.reply->Send(expired.last());
  });
}

void
ChangePollers::NotifyChange()
{
  // Changes come in bursts; one pass after the burst answers everybody.
  if (std::exchange(isNotifying_, true))
    return;
  scheduler_.Defer([this] {
    isNotifying_ = false;
    for (auto poller = pollers_.begin(); poller != pollers_.end();) {
      auto answer = poller->attempt();
      if (!answer) {
        ++poller;
        continue;
      }
      const Wire::HttpReplyHandle reply = poller->reply;
      poller = pollers_.erase(poller);
      reply->Send(std::move(*answer));
    }
  });
}

} // namespace StandIn
