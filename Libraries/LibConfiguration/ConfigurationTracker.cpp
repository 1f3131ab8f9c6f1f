#include <LibConfiguration/ConfigurationTracker.h>

#include <algorithm>

namespace Configuration {

bool
ConfigurationTracker::Take(const Configuration& aConfiguration)
{
  if (aConfiguration.version <= held_.version)
    return false;
  held_ = aConfiguration;
  return true;
}

void
ConfigurationTracker::OnConfirmed(std::uint64_t aVersion,
                                  Core::Instant aRequestedAt)
{
  // Somebody who knows of a later version confirms that ours is not.
  if (held_.version == 0 || aVersion > held_.version)
    return;
  confirmedAt_ = std::max(confirmedAt_.value_or(aRequestedAt), aRequestedAt);
}

bool
ConfigurationTracker::IsCurrent(Core::Instant aNow,
                                Core::Duration aLimit,
                                bool aIsAlone) const
{
  if (held_.version == 0 || !confirmedAt_)
    return false;
  return aIsAlone || aNow - *confirmedAt_ <= aLimit;
}

} // namespace Configuration
