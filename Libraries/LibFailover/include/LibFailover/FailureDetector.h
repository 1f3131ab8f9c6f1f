#pragma once

#include <LibCore/Clock.h>

namespace Failover {

/**
 * Adaptive failure detector for one database. The suspicion timeout follows
 * the measured probe response times, so that a slow network is not taken for
 * a failure, and never falls below a floor.
 */
class FailureDetector
{
public:
  FailureDetector(Core::Duration aFloor, Core::Instant aNow);
  void SetFloor(Core::Duration aFloor) { floor_ = aFloor; }

  /** Records the response received at aNow for a probe sent at aRequestedAt. */
  void OnProbeResponse(Core::Instant aRequestedAt, Core::Instant aNow);

  /**
   * Restarts the timeout after a pause of this process: responses missed
   * during the pause are no evidence of a failure.
   */
  void OnPause(Core::Instant aNow);

  bool IsSuspect(Core::Instant aNow) const;
  Core::Duration TimeSinceResponse(Core::Instant aNow) const;
  /** Time without a response after which the database is suspected. */
  Core::Duration SuspicionTimeout() const;

private:
  Core::Duration floor_;
  Core::Instant lastResponseAt_;
  Core::Duration meanResponseTime_{ 0 };
  Core::Duration deviation_{ 0 };
};

} // namespace Failover
