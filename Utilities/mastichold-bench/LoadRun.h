#pragma once

#include "HealthMonitor.h"
#include "Workload.h"

#include <LibHistory/HistoryChecker.h>
#include <LibMetrics/Metrics.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Bench {

/** Options of a load run. */
struct LoadOptions
{
  /** Number of concurrent sessions, each with one request at a time. */
  std::size_t callers = 30;
  /** Mean think time of a session between two requests. */
  Core::Duration thinkTime = std::chrono::milliseconds(20);
  Core::Duration time = std::chrono::seconds(10);
  std::uint64_t seed = 1;
};

/** Counts and latencies of one kind of request. */
struct KindResult
{
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  std::uint64_t notRun = 0;
  Metrics::TimeHistogram time;
};

/** Results that callers observed, and the violations found in them. */
struct LoadResult
{
  std::map<std::string, KindResult> kinds;
  std::uint64_t responses = 0;
  std::uint64_t replicaReads = 0;
  std::uint64_t primaryReads = 0;
  /** Writes whose outcome is unknown after the last attempt. */
  std::uint64_t unsettled = 0;
  /** One sentence per violation; empty when none was found. */
  std::vector<std::string> violations;

  double ReplicaShare() const;
  /** Returns the sum of the weights of all successful requests. */
  double WeightedService(const std::string& aPreset) const;
};

/**
 * Runs sessions that write, read their writes back through any node, and retry
 * writes with an unknown outcome. Then compares the stored rows with the
 * outcomes that the sessions received.
 */
class LoadRun
{
public:
  LoadRun(Core::Loop& aLoop,
          CallerClient& aClient,
          const LoadOptions& aOptions);

  /**
   * Runs the load, waits for all sessions, compares the data, and passes
   * the result to aDone.
   */
  void Start(std::function<void(LoadResult)> aDone);

private:
  /** One session, which uses one group and changes nodes. */
  struct Caller
  {
    std::string group;
    std::string token;
    /** Request id of the last acknowledged write, to be read back. */
    std::string lastWriteId;
    std::string lastTable;
    Core::TimerHandle timer;
  };
  void SendNext(std::size_t aCaller);
  void ScheduleNext(std::size_t aCaller);
  const RequestKind& PickKind();
  std::size_t PickNode();
  std::string NewId();
  void Write(std::size_t aCaller, const RequestKind& aKind);
  void SendWrite(std::size_t aCaller,
                 const RequestKind& aKind,
                 const CallerStatement& aStatement);
  void HandleWriteResponse(std::size_t aCaller,
                           const RequestKind& aKind,
                           CallerStatement aStatement,
                           const CallerResponse& aResponse);
  void Read(std::size_t aCaller, const RequestKind& aKind);
  void HandleReadResponse(std::size_t aCaller,
                          const RequestKind& aKind,
                          const std::string& aId,
                          bool aIsOwn,
                          const CallerResponse& aResponse);
  void CheckRequestId(const std::string& aId, const CallerResponse& aResponse);
  static std::string SessionOf(std::size_t aCaller);
  void AddViolation(const std::string& aText);
  void FinishCaller();
  void CountRows();
  void CountNextRows();
  void AddRowCounts(const CallerResponse& aResponse);
  void CheckHistory();

  Core::Loop& loop_;
  CallerClient& client_;
  HealthMonitor health_;
  LoadOptions options_;
  Core::Random random_;
  std::vector<Caller> callers_;
  std::size_t activeCallers_ = 0;
  Core::Instant end_;
  std::uint64_t lastId_ = 0;
  std::string prefix_;
  History::HistoryChecker history_;
  std::map<std::string, std::int64_t> rowCounts_;
  std::vector<std::pair<std::string, std::string>> pendingCounts_;
  int countAttempts_ = 0;
  LoadResult result_;
  std::function<void(LoadResult)> done_;
  Core::TimerHandle countTimer_;
};

} // namespace Bench
