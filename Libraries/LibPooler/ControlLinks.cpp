#include <LibPooler/ControlLinks.h>

#include <utility>

namespace Pooler {

struct ControlLinks::Question
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
ControlLinks::Ask(const std::string& aId,
                  const Sql::DatabaseCommand& aCommand,
                  Core::Duration aTimeout,
                  Authority::SupervisorPort::ProbeHandler aDone)
{
  auto question = std::make_shared<Question>();
  question->id = aId;
  question->command = aCommand;
  question->done = std::move(aDone);
  question->timeout =
    scheduler_.After(aTimeout, [this, weak = std::weak_ptr(question)] {
      const auto late = weak.lock();
      if (late == nullptr)
        return;
      // The connection may have gone silent; the next question dials anew.
      links_.erase(late->id);
      Finish(late, {});
    });
  if (!databases_.contains(aId)) {
    scheduler_.Defer([this, alive = alive_, question] {
      if (*alive)
        Finish(question, {});
    });
    return;
  }
  if (links_.contains(aId))
    Send(question);
  else
    Dial(question);
}

void
ControlLinks::Dial(const std::shared_ptr<Question>& aQuestion)
{
  const Database& database = databases_.at(aQuestion->id);
  dialer_.Dial(
    { database.id, database.group, database.host, database.port },
    [this, alive = alive_, aQuestion](const Sql::DialOutcome& aOutcome) {
      if (!*alive)
        return;
      if (aOutcome.link != nullptr) {
        links_[aQuestion->id] = aOutcome.link;
        Send(aQuestion);
        return;
      }
      Authority::ProbeOutcome outcome;
      outcome.isRefused = aOutcome.isRefusedByMachine;
      // Whoever refuses for lack of room is alive.
      outcome.isBusy = aOutcome.refusal && aOutcome.refusal->code ==
                                             Sql::ErrorCode::ConnectionLimit;
      Finish(aQuestion, outcome);
    },
    [this, alive = alive_, id = aQuestion->id] {
      if (*alive)
        links_.erase(id);
    });
}

void
ControlLinks::Send(const std::shared_ptr<Question>& aQuestion)
{
  if (aQuestion->done == nullptr)
    return;
  links_.at(aQuestion->id)
    ->Send(aQuestion->command,
           [this, alive = alive_, aQuestion](const Sql::DatabaseReply& aReply) {
             if (!*alive)
               return;
             Authority::ProbeOutcome outcome;
             outcome.status = dialer_.ReadStatus(aReply);
             outcome.isBusy =
               aReply.error && aReply.error->code == Sql::ErrorCode::Busy;
             Finish(aQuestion, outcome);
           });
}

void
ControlLinks::Finish(const std::shared_ptr<Question>& aQuestion,
                     const Authority::ProbeOutcome& aOutcome)
{
  aQuestion->timeout.reset();
  const auto done = std::exchange(aQuestion->done, nullptr);
  if (done)
    done(aOutcome);
}

} // namespace Pooler
