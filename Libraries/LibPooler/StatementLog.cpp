#include <LibPooler/StatementLog.h>

#include <utility>

namespace Pooler {

namespace {

/** At most one routine statement is logged per interval. */
constexpr Core::Duration kRoutineLineInterval = std::chrono::milliseconds(100);

} // namespace

StatementLog::StatementLog(const Core::Clock& aClock,
                           Metrics::Registry& aMetrics,
                           LogSink aLog)
  : clock_(aClock)
  , metrics_(aMetrics)
  , log_(std::move(aLog))
{
}

void
StatementLog::Add(const StatementReport& aReport, std::uint64_t aConfiguration)
{
  const StatementResult& result = aReport.result;
  const std::string_view outcome =
    result.error ? Sql::kErrorCodeNames.NameOf(result.error->code) : "ok";
  metrics_.Count("statements_total{outcome=\"" + std::string(outcome) + "\"}");
  metrics_.Record("statement_seconds", aReport.latency);
  if (!result.error)
    metrics_.Count(result.ranAtReplica ? "served_at_replica_total"
                                       : "served_at_primary_total");
  const bool isLate = aReport.latency > aReport.route->targetLatency;
  const bool isRoutine = !result.error && !isLate && result.attempts <= 1;
  if (isRoutine && !TryAcquireRoutineLine()) {
    metrics_.Count("routine_lines_skipped_total");
    return;
  }
  Write(aReport, outcome, aConfiguration);
}

bool
StatementLog::TryAcquireRoutineLine()
{
  const Core::Instant now = clock_.Now();
  if (now < nextRoutineLine_)
    return false;
  nextRoutineLine_ = now + kRoutineLineInterval;
  return true;
}

void
StatementLog::Write(const StatementReport& aReport,
                    std::string_view aOutcome,
                    std::uint64_t aConfiguration)
{
  const StatementResult& result = aReport.result;
  log_(
    "statement",
    { { "request", aReport.statement.requestId },
      { "kind", Sql::kStatementKindNames.NameOf(aReport.statement.kind) },
      { "route", aReport.route->name },
      { "group", aReport.route->group },
      { "database", result.database },
      { "owner", result.owner },
      { "in_transaction", aReport.isInTransaction },
      { "attempts", result.attempts },
      { "sent", result.wasSent },
      { "ms", Core::ToMilliseconds(aReport.latency) },
      { "configuration", aConfiguration },
      { "term", result.term },
      { "floor", result.floor ? result.floor->ToText() : "" },
      { "authority_ms",
        result.authorityAge ? Core::ToMilliseconds(*result.authorityAge) : -1 },
      { "outcome", aOutcome },
      { "reason", result.error ? result.error->text : "" } });
}

} // namespace Pooler
