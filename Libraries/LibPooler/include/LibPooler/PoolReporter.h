#pragma once

#include <LibCore/Scheduler.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/ConnectionPool.h>
#include <LibPooler/GroupRouter.h>
#include <LibPooler/Log.h>

#include <map>
#include <string>

namespace Pooler {

/**
 * Counts what this node's pools do, once a second, and logs databases that
 * refuse connections because of their limit. Customers appear in neither, since
 * their number isn't bounded.
 */
class PoolReporter
{
public:
  PoolReporter(Core::Scheduler& aScheduler,
               const GroupRouters& aRouters,
               Metrics::Registry& aMetrics,
               LogSink aLog);

private:
  void Report();
  void ReportPool(const ConnectionPool& aPool, const PoolCounts& aBefore);

  const GroupRouters& routers_;
  Metrics::Registry& metrics_;
  LogSink log_;
  /** By database, as of the latest report. */
  std::map<std::string, PoolCounts> reported_;
  Core::TimerHandle tick_;
};

} // namespace Pooler
