#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/FleetView.h>

namespace Configuration {

using Membership::Configuration;

/**
 * Which version one node goes by, and whether it may believe that this is the
 * latest. Versions only rise.
 */
class ConfigurationTracker
{
public:
  /** Takes a version; true when it is later than the one held. */
  bool Take(const Configuration& aConfiguration);

  /**
   * The store, or another member, has answered a question sent at aRequestedAt
   * that aVersion is the latest it knows.
   */
  void OnConfirmed(std::uint64_t aVersion, Core::Instant aRequestedAt);

  /**
   * True when something outside this node has confirmed the version held
   * within aLimit. A node alone in the fleet has only the store to ask, so
   * that nobody else can have been told of a later version; it stays current
   * once it has been.
   */
  bool IsCurrent(Core::Instant aNow,
                 Core::Duration aLimit,
                 bool aIsAlone) const;

  const Configuration& Held() const { return held_; }

private:
  Configuration held_;
  std::optional<Core::Instant> confirmedAt_;
};

} // namespace Configuration
