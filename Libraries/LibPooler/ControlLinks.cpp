#include <LibPooler/ControlLinks.h>

#include <utility>

namespace Pooler {

namespace {

/** Far more databases than disappear from the list within minutes. */
constexpr std::size_t kMaxUnlisted = 1000;

} // namespace

struct ControlLinks::PendingCommand
{
  std::string id;
  Sql::DatabaseCommand command;
  Authority::SupervisorPort::ProbeHandler done;
  Core::Instant deadline{};
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
  for (const auto& [id, database] : databases_) {
    if (!aDatabases.contains(id))
      unlisted_[id] = database;
  }
  std::erase_if(unlisted_, [&](const auto& aEntry) {
    return aDatabases.contains(aEntry.first);
  });
  while (unlisted_.size() > kMaxUnlisted)
    unlisted_.erase(unlisted_.begin());
  databases_ = aDatabases;
}

ControlLinks::Pending
ControlLinks::MakePending(const std::string& aId,
                          const Sql::DatabaseCommand& aCommand,
                          Core::Duration aTimeout,
                          Authority::SupervisorPort::ProbeHandler aDone)
{
  auto pending = std::make_shared<PendingCommand>();
  pending->id = aId;
  pending->command = aCommand;
  pending->done = std::move(aDone);
  pending->deadline = scheduler_.Now() + aTimeout;
  pending->timeout =
    scheduler_.After(aTimeout, [this, weak = std::weak_ptr(pending)] {
      const auto expired = weak.lock();
      if (expired == nullptr)
        return;
      // The connection may be dead; the next command opens a new one.
      links_.erase(expired->id);
      Finish(expired, {});
    });
  return pending;
}

void
ControlLinks::SendCommand(const std::string& aId,
                          const Sql::DatabaseCommand& aCommand,
                          Core::Duration aTimeout,
                          Authority::SupervisorPort::ProbeHandler aDone)
{
  const auto database = databases_.find(aId);
  Start(MakePending(aId, aCommand, aTimeout, std::move(aDone)),
        database == databases_.end() ? nullptr : &database->second);
}

void
ControlLinks::SendStatusToUnlisted(
  const std::string& aId,
  Core::Duration aTimeout,
  Authority::SupervisorPort::ProbeHandler aDone)
{
  const auto database = unlisted_.find(aId);
  Start(
    MakePending(
      aId, { .kind = Sql::CommandKind::Status }, aTimeout, std::move(aDone)),
    database == unlisted_.end() ? nullptr : &database->second);
}

void
ControlLinks::Start(const Pending& aPending, const Database* aDatabase)
{
  if (aDatabase == nullptr) {
    scheduler_.Defer([this, alive = alive_, aPending] {
      if (*alive)
        Finish(aPending, {});
    });
    return;
  }
  if (links_.contains(aPending->id))
    Send(aPending);
  else
    Dial(aPending, *aDatabase);
}

void
ControlLinks::Dial(const Pending& aPending, const Database& aDatabase)
{
  dialer_.Dial(
    { aDatabase.id, aDatabase.group, aDatabase.host, aDatabase.port },
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
ControlLinks::Send(const Pending& aPending)
{
  // After a standstill a connection's event precedes the due timer, which then
  // ends the command.
  if (aPending->done == nullptr || scheduler_.Now() >= aPending->deadline)
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
ControlLinks::Finish(const Pending& aPending,
                     const Authority::ProbeOutcome& aOutcome)
{
  aPending->timeout.reset();
  const auto done = std::exchange(aPending->done, nullptr);
  if (done)
    done(aOutcome);
}

} // namespace Pooler
