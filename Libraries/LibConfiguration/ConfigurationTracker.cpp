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
  // A later version elsewhere means that the held one is not the latest.
  if (held_.version == 0 || aVersion > held_.version)
    return;
  confirmedAt_ = std::max(confirmedAt_.value_or(aRequestedAt), aRequestedAt);
}

bool
ConfigurationTracker::IsCurrent(Core::Instant aNow,
                                Core::Duration aLimit,
                                bool aIsOnlyNode) const
{
  if (held_.version == 0 || !confirmedAt_)
    return false;
  return aIsOnlyNode || aNow - *confirmedAt_ <= aLimit;
}

} // namespace Configuration
