#pragma once

#include <LibCore/Scheduler.h>
#include <LibWire/HttpMessage.h>

#include <functional>
#include <list>
#include <optional>

namespace StandIn {

/** Long polls that are answered when the database has changed. */
class ChangePollers
{
public:
  /** Gives an answer if there is news for the poller. */
  using Attempt = std::function<std::optional<Wire::HttpAnswer>()>;

  explicit ChangePollers(Core::Scheduler& aScheduler);

  /** Answers now if aTry can, else at the next change, or after aWait aLast. */
  void AnswerOnChange(Core::Duration aWait,
                      const Wire::HttpReplyHandle& aReply,
                      Attempt aTry,
                      std::function<Wire::HttpAnswer()> aLast);

  /** The database has changed: whoever has news is answered. */
  void NotifyChange();

private:
  struct Poller
  {
    Wire::HttpReplyHandle reply;
    Attempt attempt;
    std::function<Wire::HttpAnswer()> last;
    Core::TimerHandle timer;
  };

  Core::Scheduler& scheduler_;
  std::list<Poller> pollers_;
  bool isNotifying_ = false;
};

} // namespace StandIn
