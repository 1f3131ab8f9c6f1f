#include <LibPooler/CapacityReview.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Pooler {

namespace {

/** A limit is logged when it has moved by this much ... */
constexpr int kMinLoggedStep = 2;
/** ... and by at least this share of the limit logged before. */
constexpr double kMinLoggedShare = 0.25;

int
ToPercent(double aFactor)
{
  return static_cast<int>(aFactor * 100);
}

} // namespace

CapacityReview::CapacityReview(const Core::Clock& aClock,
                               const GroupRouters& aRouters,
                               Metrics::Registry& aMetrics,
                               LogSink aLog)
  : clock_(aClock)
  , routers_(aRouters)
  , metrics_(aMetrics)
  , log_(std::move(aLog))
{
}

void
CapacityReview::Tick()
{
  for (const auto& [name, router] : routers_)
    ReviewGroup(*router);
}

void
CapacityReview::ReviewGroup(const GroupRouter& aRouter)
{
  for (const auto& [id, pool] : aRouter.Pools()) {
    pool->ReviewWaiters();
    if (pool->IsOwner())
      LogLimit(*pool);
  }
}

void
CapacityReview::LogLimit(const ConnectionPool& aPool)
{
  const Admission::CapacityEstimator* capacity = aPool.Capacity();
  if (capacity == nullptr)
    return;
  const int limit = capacity->ConcurrencyLimit();
  const auto [logged, isNew] = loggedLimits_.emplace(aPool.Info().id, limit);
  const int before = logged->second;
  const double step =
    std::max<double>(kMinLoggedStep, before * kMinLoggedShare);
  if (std::abs(limit - before) < step)
    return;
  logged->second = limit;
  log_("capacity_limit_moved",
       { { "database", aPool.Info().id },
         { "group", aPool.Info().group },
         { "before", before },
         { "limit", limit },
         { "slowness_percent", ToPercent(capacity->Slowness(clock_.Now())) } });
}

void
CapacityReview::UpdateGauges()
{
  const Core::Instant now = clock_.Now();
  for (const auto& [name, router] : routers_) {
    for (const auto& [id, pool] : router->Pools()) {
      const Admission::CapacityEstimator* capacity = pool->Capacity();
      if (capacity == nullptr)
        continue;
      const std::string of = "{database=\"" + id + "\"}";
      metrics_.Set("capacity_limit" + of, capacity->ConcurrencyLimit());
      metrics_.Set("capacity_slowness_percent" + of,
                   ToPercent(capacity->Slowness(now)));
      metrics_.Set("capacity_statement_us" + of,
                   capacity->StatementTime(now).count());
      metrics_.Set("capacity_read_share_percent" + of,
                   ToPercent(router->ReadShareOf(id)));
    }
  }
}

} // namespace Pooler
