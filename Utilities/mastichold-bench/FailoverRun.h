#pragma once

#include "CallerClient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Bench {

/** How a primary is lost. */
enum class LossKind
{
  /** SIGKILL. */
  Kill,
  /** SIGSTOP. */
  Freeze,
  /** Cut off from everybody, and running. */
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
  /** Also with the platform's store down. */
  bool withStoreDown = true;
};

/** One loss and how long writes could not proceed. */
struct FailoverSample
{
  LossKind kind = LossKind::Kill;
  bool isStoreDown = false;
  /** From the loss to the first write acknowledged again; absent: never. */
  std::optional<Core::Duration> gap;
};

/**
 * Loses primaries, one at a time, under a steady stream of writes, and
 * measures the gap. Killed databases are restarted by the deployment's
 * keeper (Meta/mastichold.sh up --restart-after).
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
  void TakeStatuses();
  void Lose();
  void Inflict(bool aBegins);
  void SetStoreDown(bool aIsDown, std::function<void()> aThen);
  void WriteOnce();
  void TakeWrite(const CallerAnswer& aAnswer);
  void EndRound();

  Core::Loop& loop_;
  CallerClient& client_;
  std::vector<Round> rounds_;
  std::size_t round_ = 0;
  std::vector<FailoverSample> samples_;
  std::function<void(std::vector<FailoverSample>)> done_;
  std::function<void()> whenHealthy_;
  std::map<std::string, boost::json::object> statuses_;
  std::size_t awaited_ = 0;
  std::string primary_;
  bool isLost_ = false;
  Core::Instant lostAt_;
  std::uint64_t writes_ = 0;
  std::string prefix_;
  Core::TimerHandle writeTimer_;
  Core::TimerHandle timer_;
};

} // namespace Bench
