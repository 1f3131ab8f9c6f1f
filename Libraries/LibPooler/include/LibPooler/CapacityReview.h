#pragma once

#include <LibCore/Clock.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/GroupRouter.h>
#include <LibPooler/Log.h>

#include <map>
#include <memory>
#include <string>

namespace Pooler {

/**
 * Regularly lets the pools serve waiters that a learned limit held back, and
 * shows the learned capacities in the log and the metrics.
 */
class CapacityReview
{
public:
  CapacityReview(const Core::Clock& aClock,
                 const GroupRouters& aRouters,
                 Metrics::Registry& aMetrics,
                 LogSink aLog);

  void Tick();
  void UpdateGauges();

private:
  void ReviewGroup(const GroupRouter& aRouter);
  /** Logs the pool's limit if it has moved far since it was last logged. */
  void LogLimit(const ConnectionPool& aPool);

  const Core::Clock& clock_;
  const GroupRouters& routers_;
  Metrics::Registry& metrics_;
  LogSink log_;
  /** The limits as last logged, by database. */
  std::map<std::string, int> loggedLimits_;
};

} // namespace Pooler
