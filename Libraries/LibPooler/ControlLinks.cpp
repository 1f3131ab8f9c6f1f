#include <LibPooler/ControlLinks.h>

#include <utility>

namespace Pooler {

struct ControlLinks::PendingCommand
{
  std::string id;
  Sql::DatabaseCommand command;
  Authority::SupervisorPort::ProbeHandler done;
  Core::TimerHandle timeout;
};

ControlLinks::ControlLinks(Core::Scheduler& aScheduler,
                           Sql::DatabaseDialer& aDialer)
  : scheduler_(aScheduler)
  , dialer_(aDialer)
{
}

ControlLinks::~ControlLinks()
{
  *alive_ = false;
}

void
ControlLinks::SetDatabases(const DatabaseList& aDatabases)
{
  std::erase_if(links_, [&](const auto& aEntry) {
    const auto now = aDatabases.find(aEntry.first);
    const auto before = databases_.find(aEntry.first);
    return now == aDatabases.end() || before == databases_.end() ||
           now->second.startedAt != before->second.startedAt ||
           now->second.host != before->second.host ||
           now->second.port != before->second.port;
  });
  databases_ = aDatabases;
}

void
ControlLinks::SendCommand(const std::string& aId,
                          const Sql::DatabaseCommand& aCommand,
                          Core::Duration aTimeout,
                          Authority::SupervisorPort::ProbeHandler aDone)
{
  auto pending = std::make_shared<PendingCommand>();
  pending->id = aId;
  pending->command = aCommand;
  pending->done = std::move(aDone);
  pending->timeout =
    scheduler_.After(aTimeout, [this, weak = std::weak_ptr(pending)] {
      const auto expired = weak.lock();
      if (expired == nullptr)
        return;
      // The connection may be dead; the next command opens a new one.
      links_.erase(expired->id);
      Finish(expired, {});
    });
  if (!databases_.contains(aId)) {
    scheduler_.Defer([this, alive = alive_, pending] {
      if (*alive)
        Finish(pending, {});
    });
    return;
  }
  if (links_.contains(aId))
    Send(pending);
  else
    Dial(pending);
}

void
ControlLinks::Dial(const std::shared_ptr<PendingCommand>& aPending)
{
  const Database& database = databases_.at(aPending->id);
  dialer_.Dial(
    { database.id, database.group, database.host, database.port },
    [this, alive = alive_, aPending](const Sql::DialOutcome& aOutcome) {
      if (!*alive)
        return;
      if (aOutcome.link != nullptr) {
        links_[aPending->id] = aOutcome.link;
        Send(aPending);
        return;
      }
      Authority::ProbeOutcome outcome;
      outcome.isRefused = aOutcome.isConnectionRefused;
      // A database that refuses because of its connection limit is alive.
      outcome.isBusy = aOutcome.refusal && aOutcome.refusal->code ==
                                             Sql::ErrorCode::ConnectionLimit;
      Finish(aPending, outcome);
    },
    [this, alive = alive_, id = aPending->id] {
      if (*alive)
        links_.erase(id);
    });
}

void
ControlLinks::Send(const std::shared_ptr<PendingCommand>& aPending)
{
  if (aPending->done == nullptr)
    return;
  links_.at(aPending->id)
    ->Send(aPending->command,
           [this, alive = alive_, aPending](const Sql::DatabaseReply& aReply) {
             if (!*alive)
               return;
             Authority::ProbeOutcome outcome;
             outcome.status = dialer_.ReadStatus(aReply);
             outcome.isBusy =
               aReply.error && aReply.error->code == Sql::ErrorCode::Busy;
             Finish(aPending, outcome);
           });
}

void
ControlLinks::Finish(const std::shared_ptr<PendingCommand>& aPending,
                     const Authority::ProbeOutcome& aOutcome)
{
  aPending->timeout.reset();
  const auto done = std::exchange(aPending->done, nullptr);
  if (done)
    done(aOutcome);
}

} // namespace Pooler
