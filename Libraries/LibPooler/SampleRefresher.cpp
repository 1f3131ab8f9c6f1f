#include <LibPooler/SampleRefresher.h>

#include <utility>

namespace Pooler {

namespace {

/** How often the age of the newest sample is looked at. */
constexpr Core::Duration kInterval = std::chrono::milliseconds(200);

/** The primary is asked when no answer of it is younger than this. */
constexpr Core::Duration kOldestSample = std::chrono::milliseconds(600);

/**
 * The same where other nodes get their samples here, so that those are young
 * enough for them as well.
 */
constexpr Core::Duration kOldestSharedSample = std::chrono::milliseconds(300);

/** An answer to the question for a sample is given up after this. */
constexpr Core::Duration kTimeout = std::chrono::milliseconds(1000);

} // namespace

SampleRefresher::SampleRefresher(Core::Scheduler& aScheduler,
                                 const Sql::DatabaseDialer& aDialer,
                                 const GroupRouters& aRouters)
  : scheduler_(aScheduler)
  , dialer_(aDialer)
  , routers_(aRouters)
  , tick_(aScheduler.Every(kInterval, [this] { Tick(); }))
{
}

void
SampleRefresher::SetShared(const std::string& aGroup, bool aIsShared)
{
  if (aIsShared)
    shared_.insert(aGroup);
  else
    shared_.erase(aGroup);
}

void
SampleRefresher::Tick()
{
  for (const auto& [name, router] : routers_) {
    if (!IsFresh(*router) && !asking_.contains(name))
      Sample(*router);
  }
}

bool
SampleRefresher::IsFresh(const GroupRouter& aRouter) const
{
  const auto newest = aRouter.Samples().Newest();
  const Core::Duration oldest =
    shared_.contains(aRouter.Name()) ? kOldestSharedSample : kOldestSample;
  return newest && scheduler_.Now() - *newest < oldest;
}

void
SampleRefresher::Sample(GroupRouter& aRouter)
{
  const auto choice = aRouter.Choose({});
  if (!choice)
    return;
  asking_.insert(aRouter.Name());
  choice->pool->Acquire(
    { scheduler_.Now() },
    [this, &aRouter, choice = *choice](
      const PooledConnectionHandle& aConnection, PoolRefusal) {
      // Another node's connection may have brought a sample along.
      if (aConnection != nullptr && !IsFresh(aRouter)) {
        Ask(aRouter, choice, aConnection);
        return;
      }
      asking_.erase(aRouter.Name());
      if (aConnection != nullptr)
        choice.pool->Release(aConnection, true);
    });
}

void
SampleRefresher::Ask(GroupRouter& aRouter,
                     const RoutingChoice& aChoice,
                     const PooledConnectionHandle& aConnection)
{
  const Core::Instant sentAt = scheduler_.Now();
  const bool holds =
    aRouter.Authority().HoldsFor(aChoice.pool->Info().id, aChoice.term, sentAt);
  aChoice.pool->RunAndRelease(
    aConnection,
    { .kind = Sql::CommandKind::Status },
    kTimeout,
    [this, &aRouter, sentAt, holds](const Sql::DatabaseReply& aReply) {
      asking_.erase(aRouter.Name());
      const auto status = dialer_.ReadStatus(aReply);
      if (holds && status && status->isPrimary)
        aRouter.AddSample(sentAt, status->received);
    });
}

} // namespace Pooler
