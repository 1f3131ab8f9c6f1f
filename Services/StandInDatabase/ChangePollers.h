#pragma once

#include <LibCore/Scheduler.h>
#include <LibWire/HttpMessage.h>

#include <functional>
#include <list>
#include <optional>

namespace StandIn {

/** The open long polls of a database; each completes when its data changes. */
class ChangePollers
{
public:
  /** Returns a response if something changed for the poller. */
  using Attempt = std::function<std::optional<Wire::HttpResponse>()>;

  explicit ChangePollers(Core::Scheduler& aScheduler);

  /**
   * Replies at once if aAttempt returns a response. Otherwise calls aAttempt
   * again after each change, and replies with aOnTimeout after aWait.
   */
  void ReplyOnChange(Core::Duration aWait,
                     const Wire::HttpReplyHandle& aReply,
                     Attempt aAttempt,
                     std::function<Wire::HttpResponse()> aOnTimeout);

  /** Retries every open poll; called after the database has changed. */
  void NotifyChange();

private:
  struct Poller
  {
    Wire::HttpReplyHandle reply;
    Attempt attempt;
    std::function<Wire::HttpResponse()> onTimeout;
    Core::TimerHandle timer;
  };

  Core::Scheduler& scheduler_;
  std::list<Poller> pollers_;
  bool isNotifying_ = false;
};

} // namespace StandIn
