#pragma once

#include <LibMetrics/Metrics.h>
#include <LibPooler/ClientSession.h>
#include <LibPooler/Log.h>

#include <string_view>

namespace Pooler {

/**
 * Logs and counts finished statements. Each statement that failed, exceeded its
 * target latency or took more than one attempt is logged. The others are
 * routine statements, whose log lines are rate-limited.
 */
class StatementLog
{
public:
  StatementLog(const Core::Clock& aClock,
               Metrics::Registry& aMetrics,
               LogSink aLog);

  /** aConfiguration is the version of the configuration in force. */
  void Add(const StatementReport& aReport, std::uint64_t aConfiguration);

private:
  /**
   * Returns true if a routine statement may be logged now, and starts the next
   * interval if so.
   */
  bool TryAcquireRoutineLine();
  void Write(const StatementReport& aReport,
             std::string_view aOutcome,
             std::uint64_t aConfiguration);

  const Core::Clock& clock_;
  Metrics::Registry& metrics_;
  LogSink log_;
  Core::Instant nextRoutineLine_ = Core::Instant::min();
};

} // namespace Pooler
