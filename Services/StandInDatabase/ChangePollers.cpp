#include "ChangePollers.h"

#include <iterator>
#include <utility>

namespace StandIn {

ChangePollers::ChangePollers(Core::Scheduler& aScheduler)
  : scheduler_(aScheduler)
{
}

void
ChangePollers::ReplyOnChange(Core::Duration aWait,
                             const Wire::HttpReplyHandle& aReply,
                             Attempt aAttempt,
                             std::function<Wire::HttpResponse()> aOnTimeout)
{
  if (auto response = aAttempt()) {
    aReply->Send(std::move(*response));
    return;
  }
  if (aWait == Core::Duration::zero()) {
    aReply->Send(aOnTimeout());
    return;
  }
  pollers_.push_back(
    { aReply, std::move(aAttempt), std::move(aOnTimeout), {} });
  const auto poller = std::prev(pollers_.end());
  poller->timer = scheduler_.After(aWait, [this, poller] {
    const Poller expired = std::move(*poller);
    pollers_.erase(poller);
    expired.reply->Send(expired.onTimeout());
  });
}

void
ChangePollers::NotifyChange()
{
  // Changes come in bursts; one deferred pass after a burst serves all polls.
  if (std::exchange(isNotifying_, true))
    return;
  scheduler_.Defer([this] {
    isNotifying_ = false;
    for (auto poller = pollers_.begin(); poller != pollers_.end();) {
      auto response = poller->attempt();
      if (!response) {
        ++poller;
        continue;
      }
      const Wire::HttpReplyHandle reply = poller->reply;
      poller = pollers_.erase(poller);
      reply->Send(std::move(*response));
    }
  });
}

} // namespace StandIn
