#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/FleetView.h>

namespace Configuration {

using Membership::Configuration;

/**
 * The configuration that a node uses, and whether it is known to be the
 * latest. The version only rises.
 */
class ConfigurationTracker
{
public:
  /** Uses aConfiguration if it is later than the held one; true if so. */
  bool Take(const Configuration& aConfiguration);

  /**
   * The store or another member has reported, in response to a request sent at
   * aRequestedAt, that aVersion is the latest it knows.
   */
  void OnConfirmed(std::uint64_t aVersion, Core::Instant aRequestedAt);

  /**
   * True if the store or another member has confirmed the held version within
   * aLimit. For the only node of a fleet, one confirmation is enough, however
   * old: only the store could confirm the version again, and no other node can
   * have received a later one.
   */
  bool IsCurrent(Core::Instant aNow,
                 Core::Duration aLimit,
                 bool aIsOnlyNode) const;

  const Configuration& Held() const { return held_; }

private:
  Configuration held_;
  std::optional<Core::Instant> confirmedAt_;
};

} // namespace Configuration
