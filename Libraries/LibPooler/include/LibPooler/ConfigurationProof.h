#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Pooler {

/** How soon the withdrawal of a client's key must take effect. */
struct KeySettings
{
  /** A node that can't prove its configuration to be current refuses keys. */
  bool strictWithdrawal = false;
  /** From the acknowledgement of a configuration without the key. */
  Core::Duration withdrawal{ 0 };
};

/** The durations that follow from KeySettings. */
struct ProofTiming
{
  /** How long a proof allows the use of keys. */
  Core::Duration lifetime{ 0 };
  /** At this age of the proof, a node asks the store itself. */
  Core::Duration refreshAge{ 0 };
  /**
   * The longest wait of a poll without heartbeats. Its proof is as old as its
   * request, so that the age reaches twice this time before the next one.
   */
  Core::Duration pollWait{ 0 };
};

ProofTiming
ProofTimingOf(const KeySettings& aSettings);

/** What a peer states about its configuration, at one moment. */
struct ProvenConfiguration
{
  /** The operators' version of the configuration that the peer has applied. */
  std::uint64_t version = 0;
  /** How long ago the peer proved it to be the newest one. */
  Core::Duration age{ 0 };
};

/**
 * The proof that this node's configuration is current: an instant on this
 * node's clock such that the configuration contains everything that was
 * acknowledged before it. Proofs never contradict each other, so the latest
 * counts, whoever gave it.
 */
class ConfigurationProof
{
public:
  explicit ConfigurationProof(const KeySettings& aSettings);

  const ProofTiming& Timing() const { return timing_; }

  /** All that was acknowledged before aProvenAt has been applied. */
  void Extend(Core::Instant aProvenAt);

  /**
   * Takes over a peer's proof. aEcho is this node's clock in a message that the
   * peer had received before it stated aPeer; aVersion is that of the
   * configuration applied here.
   */
  void ExtendByPeer(const ProvenConfiguration& aPeer,
                    Core::Instant aEcho,
                    std::uint64_t aVersion,
                    Core::Instant aNow);

  /** True if the configuration may be relied on for keys. */
  bool IsCurrent(Core::Instant aNow) const;
  /** True if the store should be asked before the proof expires. */
  bool IsDueForRefresh(Core::Instant aNow) const;
  std::optional<Core::Instant> ProvenAt() const { return provenAt_; }

private:
  ProofTiming timing_;
  std::optional<Core::Instant> provenAt_;
};

} // namespace Pooler
