#pragma once

#include "CallerClient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Bench {

/** Fault that makes a group lose its primary. */
enum class LossKind
{
  /** The process is killed with SIGKILL. */
  Kill,
  /** The process is suspended with SIGSTOP. */
  Freeze,
  /** The process runs, but has no connection to any other. */
  Isolate,
};

inline constexpr Core::EnumNames<LossKind, 3> kLossKindNames{ {
  { { LossKind::Kill, "kill" },
    { LossKind::Freeze, "freeze" },
    { LossKind::Isolate, "isolate" } },
} };

struct FailoverOptions
{
  int rounds = 10;
  std::vector<LossKind> kinds{ LossKind::Kill,
                               LossKind::Freeze,
                               LossKind::Isolate };
  /** Repeats each kind with the platform's store down. */
  bool withStoreDown = true;
};

/** One loss of a primary, and the time until writes succeeded again. */
struct FailoverSample
{
  LossKind kind = LossKind::Kill;
  bool isStoreDown = false;
  /**
   * Time from the loss to the first write that a new primary acknowledged;
   * absent when there was none before the time-out.
   */
  std::optional<Core::Duration> gap;
};

/**
 * Makes primaries fail, one at a time, under a steady stream of writes, and
 * measures the time without writes. The supervisor of the deployment
 * (Meta/mastichold.sh up --restart-after) restarts killed databases.
 */
class FailoverRun
{
public:
  FailoverRun(Core::Loop& aLoop,
              CallerClient& aClient,
              const FailoverOptions& aOptions);

  void Start(std::function<void(std::vector<FailoverSample>)> aDone);

private:
  struct Round
  {
    LossKind kind;
    bool isStoreDown;
    std::string group;
  };

  void NextRound();
  void WaitUntilHealthy(std::function<void()> aThen);
  void EvaluateStatuses();
  void FailPrimary();
  void SetFault(bool aIsActive);
  void SetStoreDown(bool aIsDown, std::function<void()> aThen);
  void WriteOnce();
  void HandleWriteResponse(const CallerResponse& aResponse);
  void EndRound();

  Core::Loop& loop_;
  CallerClient& client_;
  std::vector<Round> rounds_;
  std::size_t round_ = 0;
  std::vector<FailoverSample> samples_;
  std::function<void(std::vector<FailoverSample>)> done_;
  std::function<void()> whenHealthy_;
  std::map<std::string, boost::json::object> statuses_;
  std::size_t pendingStatuses_ = 0;
  std::string primary_;
  bool isPrimaryLost_ = false;
  Core::Instant lostAt_;
  std::uint64_t writes_ = 0;
  std::string prefix_;
  Core::TimerHandle writeTimer_;
  Core::TimerHandle timer_;
};

} // namespace Bench
