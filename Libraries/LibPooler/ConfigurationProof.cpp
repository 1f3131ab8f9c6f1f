#include <LibPooler/ConfigurationProof.h>

#include <algorithm>

namespace Pooler {

namespace {

/** The clocks of two VMs drift apart by less than this within a proof's life.*/
constexpr Core::Duration kClockMargin = std::chrono::milliseconds(200);

/** A call to the store that gets no response, and the call that replaces it. */
constexpr Core::Duration kRecoveryTime = std::chrono::milliseconds(1000);

/** A response to a poll that ends without a change. */
constexpr Core::Duration kResponseTime = std::chrono::milliseconds(300);

constexpr Core::Duration kMinPollWait = std::chrono::milliseconds(100);

} // namespace

ProofTiming
ProofTimingOf(const KeySettings& aSettings)
{
  ProofTiming timing;
  timing.lifetime = aSettings.withdrawal - kClockMargin;
  timing.refreshAge = std::max<Core::Duration>(timing.lifetime - kRecoveryTime,
                                               timing.lifetime / 2);
  timing.pollWait = std::max<Core::Duration>(
    (timing.refreshAge - kResponseTime) / 2, kMinPollWait);
  return timing;
}

ConfigurationProof::ConfigurationProof(const KeySettings& aSettings)
  : timing_(ProofTimingOf(aSettings))
{
}

void
ConfigurationProof::Extend(Core::Instant aProvenAt)
{
  provenAt_ = std::max(provenAt_.value_or(aProvenAt), aProvenAt);
}

void
ConfigurationProof::ExtendByPeer(const ProvenConfiguration& aPeer,
                                 Core::Instant aEcho,
                                 std::uint64_t aVersion,
                                 Core::Instant aNow)
{
  // An older proof would be of no use, and its age may be any number.
  const bool isUsable = aEcho <= aNow && aPeer.age >= Core::Duration::zero() &&
                        aPeer.age <= timing_.lifetime;
  if (!isUsable || aVersion < aPeer.version)
    return;
  // The peer spoke after aEcho, so this is no later than its own proof.
  Extend(aEcho - aPeer.age);
}

bool
ConfigurationProof::IsCurrent(Core::Instant aNow) const
{
  return provenAt_ && aNow - *provenAt_ <= timing_.lifetime;
}

bool
ConfigurationProof::IsDueForRefresh(Core::Instant aNow) const
{
  return !provenAt_ || aNow - *provenAt_ > timing_.refreshAge;
}

} // namespace Pooler
