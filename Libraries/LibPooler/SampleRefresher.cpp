#include <LibPooler/SampleRefresher.h>

#include <utility>

namespace Pooler {

namespace {

/** How often the age of the newest sample is checked. */
constexpr Core::Duration kCheckInterval = std::chrono::milliseconds(200);

/** A new sample is requested when the newest one is older than this. */
constexpr Core::Duration kMaxSampleAge = std::chrono::milliseconds(600);

/**
 * The same for groups whose samples other nodes use, so that the samples are
 * still recent enough when they get there.
 */
constexpr Core::Duration kMaxSharedSampleAge = std::chrono::milliseconds(300);

/** The timeout of a request for a sample. */
constexpr Core::Duration kStatusTimeout = std::chrono::milliseconds(1000);

} // namespace

SampleRefresher::SampleRefresher(Core::Scheduler& aScheduler,
                                 const Sql::DatabaseDialer& aDialer,
                                 const GroupRouters& aRouters)
  : scheduler_(aScheduler)
  , dialer_(aDialer)
  , routers_(aRouters)
  , tick_(aScheduler.Every(kCheckInterval, [this] { Tick(); }))
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
    if (!IsFresh(*router) && !IsOutstanding(name))
      RefreshSample(*router);
  }
}

bool
SampleRefresher::IsFresh(const GroupRouter& aRouter) const
{
  const auto newest = aRouter.Samples().Newest();
  const Core::Duration oldest =
    shared_.contains(aRouter.Name()) ? kMaxSharedSampleAge : kMaxSampleAge;
  return newest && scheduler_.Now() - *newest < oldest;
}

bool
SampleRefresher::IsOutstanding(const std::string& aGroup) const
{
  const auto request = outstanding_.find(aGroup);
  return request != outstanding_.end() && !request->second.expired();
}

void
SampleRefresher::RefreshSample(GroupRouter& aRouter)
{
  const auto choice = aRouter.Choose({});
  if (!choice)
    return;
  const std::weak_ptr<ConnectionPool> weak = choice->pool;
  outstanding_[aRouter.Name()] = weak;
  ConnectionRequirements requirements{ scheduler_.Now() };
  requirements.fitsAnyCustomer = true;
  choice->pool->Acquire(
    std::move(requirements),
    [this, &aRouter, weak, term = choice->term](
      const PooledConnectionHandle& aConnection, PoolRefusal) {
      const std::shared_ptr<ConnectionPool> pool = weak.lock();
      const bool isConnected = pool != nullptr && aConnection != nullptr;
      // A connection that is checked out from another node may come with a
      // sample. No request is needed then.
      if (isConnected && !IsFresh(aRouter)) {
        RequestPosition(aRouter, *pool, term, aConnection);
        return;
      }
      outstanding_.erase(aRouter.Name());
      if (isConnected)
        pool->Release(aConnection);
    });
}

void
SampleRefresher::RequestPosition(GroupRouter& aRouter,
                                 ConnectionPool& aPool,
                                 Session::Term aTerm,
                                 const PooledConnectionHandle& aConnection)
{
  const Core::Instant sentAt = scheduler_.Now();
  const bool holds =
    aRouter.Authority().HoldsFor(aPool.Info().id, aTerm, sentAt);
  aPool.RunAndRelease(
    aConnection,
    { .kind = Sql::CommandKind::Status },
    kStatusTimeout,
    [this, &aRouter, sentAt, holds](const Sql::DatabaseReply& aReply) {
      outstanding_.erase(aRouter.Name());
      const auto status = dialer_.ReadStatus(aReply);
      if (holds && status && status->isPrimary)
        aRouter.AddSample(sentAt, status->received);
    });
}

} // namespace Pooler
