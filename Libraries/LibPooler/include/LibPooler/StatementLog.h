#pragma once

#include <LibMetrics/Metrics.h>
#include <LibPooler/ClientSession.h>
#include <LibPooler/Log.h>

#include <string_view>

namespace Pooler {

/**
 * The lines and counters of finished statements. Whatever failed, was late or
 * needed more than one attempt has a line; of the others only a few have.
 */
class StatementLog
{
public:
  StatementLog(const Core::Clock& aClock,
               Metrics::Registry& aMetrics,
               LogSink aLog);

  /** aConfiguration is the version of the one in force. */
  void Add(const StatementReport& aReport, std::uint64_t aConfiguration);

private:
  bool TakeRoutineLine();
  void Write(const StatementReport& aReport,
             std::string_view aOutcome,
             std::uint64_t aConfiguration);

  const Core::Clock& clock_;
  Metrics::Registry& metrics_;
  LogSink log_;
  Core::Instant nextRoutineLine_ = Core::Instant::min();
};

} // namespace Pooler
