#pragma once

#include <LibMetrics/Metrics.h>
#include <LibPooler/Access.h>
#include <LibPooler/ConfigurationProof.h>
#include <LibPooler/Log.h>
#include <LibPooler/Peers.h>

#include <optional>
#include <string>

namespace Pooler {

/**
 * Decides whether clients may use their keys, and keeps the proof that a
 * withdrawn key isn't among them. Does nothing unless the settings ask for
 * strict withdrawal and the configuration requires keys.
 *
 * One check when a statement is taken up suffices: the bound counts from when
 * the client sent it, which is earlier, so that a later check could refuse only
 * what was sent in time.
 */
class KeyGuard
{
public:
  KeyGuard(const KeySettings& aSettings,
           Metrics::Registry& aMetrics,
           LogSink aLog);

  const KeySettings& Settings() const { return settings_; }

  /** What a client with this key may do on a route at aNow. */
  Access Check(const Configuration& aConfiguration,
               const Route& aRoute,
               std::string_view aKey,
               Core::Instant aNow) const;

  /**
   * True if all clients are refused, so that they should go elsewhere. A node
   * that serves public routes stays ready for these.
   */
  bool RefusesAll(const Configuration& aConfiguration,
                  Core::Instant aNow) const;

  /**
   * Called on each tick. aProvenAt is the proof of this node's own requests.
   * Returns true if the store should be asked for the configuration now.
   */
  bool Maintain(const Configuration& aConfiguration,
                std::optional<Core::Instant> aProvenAt,
                Core::Instant aNow);

  /** Takes over the sender's proof if the heartbeat is meant for aSelf. */
  void OnHeartbeat(const Heartbeat& aHeartbeat,
                   const std::string& aSelf,
                   const Configuration& aConfiguration,
                   Core::Instant aNow);

  /** The proof to pass on to other members; none if there is no need of it. */
  std::optional<Core::Instant> ProvenAt(
    const Configuration& aConfiguration) const;

  void UpdateGauges(const Configuration& aConfiguration, Core::Instant aNow);

private:
  bool NeedsProof(const Configuration& aConfiguration) const;
  bool IsProven(const Configuration& aConfiguration, Core::Instant aNow) const;
  void LogChangeOfProof(bool aIsProven, Core::Instant aNow);

  KeySettings settings_;
  Metrics::Registry& metrics_;
  LogSink log_;
  ConfigurationProof proof_;
  /** Whether the last call of Maintain found the configuration proven. */
  bool wasProven_ = true;
  Core::Instant nextRefreshAt_{};
};

} // namespace Pooler
