#pragma once

#include "HealthWatch.h"
#include "Workload.h"

#include <LibHistory/HistoryChecker.h>
#include <LibMetrics/Metrics.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Bench {

struct LoadOptions
{
  /** Sessions that work side by side, each one request at a time. */
  std::size_t callers = 30;
  /** The mean pause of a session between two requests. */
  Core::Duration think = std::chrono::milliseconds(20);
  Core::Duration time = std::chrono::seconds(10);
  std::uint64_t seed = 1;
};

/** What one kind of request got. */
struct KindResult
{
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  std::uint64_t notRun = 0;
  Metrics::TimeHistogram time;
};

/** What callers saw, and what of it was wrong. */
struct LoadResult
{
  std::map<std::string, KindResult> kinds;
  std::uint64_t answers = 0;
  std::uint64_t replicaReads = 0;
  std::uint64_t primaryReads = 0;
  std::uint64_t unsettled = 0;
  /** Each a sentence; empty when nothing was wrong. */
  std::vector<std::string> wrong;

  double ReplicaShare() const;
  /** The weights of the requests that were answered, added up. */
  double WeightedService(const std::string& aPreset) const;
};

/**
 * Sessions that write, read back what they wrote on other nodes, and repeat
 * what is unsettled; then the data is compared with what they were told.
 */
class LoadRun
{
public:
  LoadRun(Core::Loop& aLoop,
          CallerClient& aClient,
          const LoadOptions& aOptions);

  /** Runs, settles what is open, audits; aDone gets the result. */
  void Start(std::function<void(LoadResult)> aDone);

private:
  /** One caller, in one group, moving between the nodes. */
  struct Caller
  {
    std::string group;
    std::string token;
    /** The tag of its last acknowledged write, to be read back. */
    std::string lastTag;
    std::string lastTable;
    Core::TimerHandle timer;
  };
  void Step(std::size_t aCaller);
  void Pause(std::size_t aCaller);
  const KindSpec& PickKind();
  std::size_t PickNode();
  std::string NewId();
  void Write(std::size_t aCaller, const KindSpec& aKind);
  void SendWrite(std::size_t aCaller,
                 const KindSpec& aKind,
                 const CallerStatement& aStatement);
  void TakeWrite(std::size_t aCaller,
                 const KindSpec& aKind,
                 CallerStatement aStatement,
                 const CallerAnswer& aAnswer);
  void Read(std::size_t aCaller, const KindSpec& aKind);
  void TakeRead(std::size_t aCaller,
                const KindSpec& aKind,
                const std::string& aId,
                bool aIsOwn,
                const CallerAnswer& aAnswer);
  void CheckEcho(const std::string& aId, const CallerAnswer& aAnswer);
  static std::string SessionOf(std::size_t aCaller);
  void Wrong(const std::string& aText);
  void CallerDone();
  void Audit();
  void AuditNext();
  void TakeCounts(const CallerAnswer& aAnswer);
  void Judge();

  Core::Loop& loop_;
  CallerClient& client_;
  HealthWatch health_;
  LoadOptions options_;
  Core::Random random_;
  std::vector<Caller> callers_;
  std::size_t working_ = 0;
  Core::Instant end_;
  std::uint64_t lastId_ = 0;
  std::string prefix_;
  History::HistoryChecker history_;
  std::map<std::string, std::int64_t> counted_;
  std::vector<std::pair<std::string, std::string>> audits_;
  int auditTries_ = 0;
  LoadResult result_;
  std::function<void(LoadResult)> done_;
  Core::TimerHandle auditTimer_;
};

} // namespace Bench
