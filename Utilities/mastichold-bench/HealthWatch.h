#pragma once

#include "CallerClient.h"

#include <set>

namespace Bench {

/** Plays the platform's balancer: knows which nodes show themselves fit. */
class HealthWatch
{
public:
  HealthWatch(Core::Loop& aLoop, CallerClient& aClient);

  /** A node that is fit, at random; any node when none is. */
  std::size_t Pick(Core::Random& aRandom) const;

private:
  void Check();

  Core::Loop& loop_;
  CallerClient& client_;
  std::set<std::size_t> fit_;
  Core::TimerHandle timer_;
};

} // namespace Bench
