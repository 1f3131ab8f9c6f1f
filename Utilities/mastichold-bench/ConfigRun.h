#pragma once

#include "CallerClient.h"

#include <functional>
#include <set>
#include <vector>

namespace Bench {

/**
 * Changes the configuration repeatedly and measures, from the response to the
 * operator, how long each change takes to be in force on every proxy.
 */
class ConfigRun
{
public:
  ConfigRun(Core::Loop& aLoop, CallerClient& aClient, int aChanges);

  /** Passes the time that each change took to aDone. */
  void Start(std::function<void(std::vector<Core::Duration>)> aDone);

private:
  void NextChange();
  void Change(std::int64_t aBasedOn);
  void PollNodes();

  Core::Loop& loop_;
  CallerClient& client_;
  Core::Random random_;
  int remainingChanges_;
  std::int64_t version_ = 0;
  Core::Instant acceptedAt_;
  std::set<std::string> pendingNodes_;
  std::vector<Core::Duration> times_;
  std::function<void(std::vector<Core::Duration>)> done_;
  Core::TimerHandle timer_;
};

} // namespace Bench
