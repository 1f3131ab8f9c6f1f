#include <LibPooler/KeyGuard.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** How often the store is asked again while the proof is too old. */
constexpr Core::Duration kRefreshInterval = std::chrono::milliseconds(500);

} // namespace

KeyGuard::KeyGuard(const KeySettings& aSettings,
                   Metrics::Registry& aMetrics,
                   LogSink aLog)
  : settings_(aSettings)
  , metrics_(aMetrics)
  , log_(std::move(aLog))
  , proof_(aSettings)
{
}

bool
KeyGuard::NeedsProof(const Configuration& aConfiguration) const
{
  return settings_.strictWithdrawal && aConfiguration.requiresKeys;
}

bool
KeyGuard::IsProven(const Configuration& aConfiguration,
                   Core::Instant aNow) const
{
  return !NeedsProof(aConfiguration) || proof_.IsCurrent(aNow);
}

Access
KeyGuard::Check(const Configuration& aConfiguration,
                const Route& aRoute,
                std::string_view aKey,
                Core::Instant aNow) const
{
  Access access =
    CheckKey(aConfiguration, aRoute, aKey, IsProven(aConfiguration, aNow));
  if (access.decision != AccessDecision::Granted)
    metrics_.Count("accesses_refused_total{reason=\"" +
                   std::string(kAccessDecisionNames.NameOf(access.decision)) +
                   "\"}");
  return access;
}

bool
KeyGuard::RefusesAll(const Configuration& aConfiguration,
                     Core::Instant aNow) const
{
  if (IsProven(aConfiguration, aNow))
    return false;
  return std::none_of(
    aConfiguration.routes.begin(),
    aConfiguration.routes.end(),
    [](const auto& aEntry) { return aEntry.second.isPublic; });
}

bool
KeyGuard::Maintain(const Configuration& aConfiguration,
                   std::optional<Core::Instant> aProvenAt,
                   Core::Instant aNow)
{
  if (!settings_.strictWithdrawal)
    return false;
  if (aProvenAt)
    proof_.Extend(*aProvenAt);
  LogChangeOfProof(IsProven(aConfiguration, aNow), aNow);
  const bool isDue = NeedsProof(aConfiguration) &&
                     proof_.IsDueForRefresh(aNow) && aNow >= nextRefreshAt_;
  if (!isDue)
    return false;
  nextRefreshAt_ = aNow + kRefreshInterval;
  metrics_.Count("configuration_proof_refreshes_total");
  return true;
}

void
KeyGuard::LogChangeOfProof(bool aIsProven, Core::Instant aNow)
{
  if (std::exchange(wasProven_, aIsProven) == aIsProven)
    return;
  boost::json::object fields;
  if (const auto provenAt = proof_.ProvenAt())
    fields["age_ms"] = Core::ToMilliseconds(aNow - *provenAt);
  log_(aIsProven ? "configuration_proven" : "configuration_unproven",
       std::move(fields));
}

void
KeyGuard::OnHeartbeat(const Heartbeat& aHeartbeat,
                      const std::string& aSelf,
                      const Configuration& aConfiguration,
                      Core::Instant aNow)
{
  const bool isUsable = settings_.strictWithdrawal &&
                        aHeartbeat.receiver == aSelf && aHeartbeat.echo &&
                        aHeartbeat.configuration;
  if (!isUsable)
    return;
  proof_.ExtendByPeer(
    *aHeartbeat.configuration, *aHeartbeat.echo, aConfiguration.version, aNow);
}

std::optional<Core::Instant>
KeyGuard::ProvenAt(const Configuration& aConfiguration) const
{
  return NeedsProof(aConfiguration) ? proof_.ProvenAt() : std::nullopt;
}

void
KeyGuard::UpdateGauges(const Configuration& aConfiguration, Core::Instant aNow)
{
  const auto provenAt = ProvenAt(aConfiguration);
  if (provenAt)
    metrics_.Set("configuration_proof_age_ms",
                 Core::ToMilliseconds(aNow - *provenAt));
}

} // namespace Pooler
