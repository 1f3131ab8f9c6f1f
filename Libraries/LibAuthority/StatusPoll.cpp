#include <LibAuthority/StatusPoll.h>

#include <algorithm>

namespace Authority {

namespace {

/** The interval between requests to a database. */
constexpr Core::Duration kInterval = std::chrono::milliseconds(40);

/** The same while the result depends on databases that are silent. */
constexpr Core::Duration kSlowInterval = std::chrono::milliseconds(200);

} // namespace

StatusPoll::StatusPoll(Core::Scheduler& aScheduler,
                       SupervisorPort& aPort,
                       const SupervisedGroup& aGroup,
                       const SupervisorTiming& aTiming)
  : scheduler_(aScheduler)
  , port_(aPort)
  , group_(aGroup)
  , timing_(aTiming)
{
}

void
StatusPoll::Reset()
{
  ++epoch_;
  nextRound_ = {};
  statuses_.clear();
}

void
StatusPoll::Tick()
{
  const Core::Instant now = scheduler_.Now();
  if (now < nextRound_)
    return;
  lastRound_ = now;
  nextRound_ = now + kInterval;
  for (const SupervisedDatabase& database : group_.databases)
    Probe(database.id);
}

void
StatusPoll::SlowDown()
{
  nextRound_ = std::max(nextRound_, lastRound_ + kSlowInterval);
}

void
StatusPoll::Probe(const std::string& aId)
{
  port_.Probe(aId,
              timing_.probeTimeout,
              [this, epoch = epoch_, aId](const ProbeOutcome& aOutcome) {
                if (epoch == epoch_ && aOutcome.status)
                  statuses_[aId] = *aOutcome.status;
              });
}

void
StatusPoll::AddPositions(boost::json::object& aFacts) const
{
  for (const SupervisedDatabase& database : group_.databases) {
    const auto status = statuses_.find(database.id);
    aFacts[database.id] =
      status == statuses_.end() ? "silent" : status->second.received.ToText();
  }
}

} // namespace Authority
