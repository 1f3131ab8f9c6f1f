#pragma once

#include "CallerClient.h"

#include <set>

namespace Bench {

/**
 * Polls the health checks of all nodes, and selects healthy nodes as the
 * platform's load balancer does.
 */
class HealthMonitor
{
public:
  HealthMonitor(Core::Loop& aLoop, CallerClient& aClient);

  /** Returns a random healthy node, or any node when none is healthy. */
  std::size_t Pick(Core::Random& aRandom) const;

private:
  void Check();

  Core::Loop& loop_;
  CallerClient& client_;
  std::set<std::size_t> healthyNodes_;
  Core::TimerHandle timer_;
};

} // namespace Bench
