#include <LibPooler/PoolReporter.h>

#include <utility>

namespace Pooler {

namespace {

constexpr Core::Duration kReportInterval = std::chrono::seconds(1);

constexpr const char* kDialsIntoRoom =
  "connection_dials_total{reason=\"room\"}";
constexpr const char* kDialsForReplacement =
  "connection_dials_total{reason=\"replacement\"}";

/** What was counted since aBefore, which a new pool of the id has not seen. */
PoolCounts
Since(const PoolCounts& aNow, const PoolCounts& aBefore)
{
  if (aNow.dials < aBefore.dials)
    return aNow;
  return { aNow.dials - aBefore.dials,
           aNow.replacements - aBefore.replacements,
           aNow.refusedDials - aBefore.refusedDials,
           aNow.reusesOutOfOrder - aBefore.reusesOutOfOrder };
}

} // namespace

PoolReporter::PoolReporter(Core::Scheduler& aScheduler,
                           const GroupRouters& aRouters,
                           Metrics::Registry& aMetrics,
                           LogSink aLog)
  : routers_(aRouters)
  , metrics_(aMetrics)
  , log_(std::move(aLog))
  , tick_(aScheduler.Every(kReportInterval, [this] { Report(); }))
{
}

void
PoolReporter::Report()
{
  std::map<std::string, PoolCounts> reported;
  for (const auto& [name, router] : routers_) {
    for (const auto& [id, pool] : router->Pools()) {
      ReportPool(*pool, reported_[id]);
      reported[id] = pool->Counts();
    }
  }
  reported_ = std::move(reported);
}

void
PoolReporter::ReportPool(const ConnectionPool& aPool, const PoolCounts& aBefore)
{
  const PoolCounts since = Since(aPool.Counts(), aBefore);
  metrics_.Count(kDialsIntoRoom, since.dials - since.replacements);
  metrics_.Count(kDialsForReplacement, since.replacements);
  metrics_.Count("connection_reuses_out_of_order_total",
                 since.reusesOutOfOrder);
  metrics_.Count("connection_dials_refused_total", since.refusedDials);
  if (since.refusedDials == 0)
    return;
  log_("connections_refused",
       { { "database", aPool.Info().id },
         { "group", aPool.Info().group },
         { "refused", since.refusedDials },
         { "open", aPool.OpenOwn() },
         { "limit", aPool.Limit() },
         { "waiting", aPool.Waiting() } });
}

} // namespace Pooler
