#pragma once

#include <LibCore/Clock.h>

namespace Failover {

/**
 * Judges one database by the answers to its probes. The limit follows the
 * answer times seen, so that a slow network does not look like a failure,
 * and never goes below a floor.
 */
class FailureDetector
{
public:
  FailureDetector(Core::Duration aFloor, Core::Instant aNow);
  void SetFloor(Core::Duration aFloor) { floor_ = aFloor; }

  /** A probe sent at aRequestedAt was answered at aNow. */
  void OnAnswer(Core::Instant aRequestedAt, Core::Instant aNow);

  /** The observer itself was paused: its silence proves nothing. */
  void OnPause(Core::Instant aNow);

  bool IsSuspect(Core::Instant aNow) const;
  Core::Duration SilentFor(Core::Instant aNow) const;
  /** The silence from which a database is suspected. */
  Core::Duration Limit() const;

private:
  Core::Duration floor_;
  Core::Instant lastAnswer_;
  Core::Duration mean_{ 0 };
  Core::Duration deviation_{ 0 };
};

} // namespace Failover
