#pragma once

#include <LibAuthority/ChangeFeed.h>
#include <LibPooler/Member.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Pooler {

/**
 * A request to a peer for the row with the operators' configuration, if it is
 * newer than the requester's. A large row arrives in parts, each with a request
 * of its own, so that a transfer that broke off goes on at any peer that has
 * the same row.
 */
struct ConfigurationRequest
{
  /** The store version of the row that the requester has; 0 if none. */
  std::uint64_t knownVersion = 0;
  /** Whether the response may be a delta to that row. */
  bool acceptsDelta = false;
  /** The digest of the content of which earlier parts have arrived; else 0. */
  std::uint64_t digest = 0;
  /** Bytes of that content that have arrived. */
  std::size_t offset = 0;
  /** How long the peer may wait for a newer row. */
  Core::Duration wait{ 0 };
};

/** A part of a newer row, or the statement that there is none. */
struct ConfigurationPart
{
  /** False if the peer gave no usable response. */
  bool isAnswered = false;
  /** The store version of the newer row; 0 if the peer has none. */
  std::uint64_t version = 0;
  /** All changes of the table up to this store version are contained in it. */
  std::uint64_t storeVersion = 0;
  /**
   * True if the content is a list of deltas, to be applied one after the other
   * to the requester's row; false if it is the row's value.
   */
  bool isDelta = false;
  /** Of the whole content, and of the row's value. */
  std::uint64_t digest = 0;
  std::uint64_t valueDigest = 0;
  /** The size of the whole content, and where this part begins in it. */
  std::size_t size = 0;
  std::size_t offset = 0;
  std::string text{};
  /** Bytes of a newer row that the peer itself is receiving. */
  std::size_t receivingBytes = 0;
};

/** Requests the operators' configuration from other nodes. */
class ConfigurationPeers
{
public:
  using Handler = std::function<void(ConfigurationPart)>;

  virtual ~ConfigurationPeers() = default;

  /**
   * Calls aDone exactly once, never before Fetch returns, unless the request is
   * cancelled by destroying it.
   */
  [[nodiscard]] virtual std::unique_ptr<Authority::PendingRequest> Fetch(
    const Member& aMember,
    const ConfigurationRequest& aRequest,
    Handler aDone) = 0;
};

} // namespace Pooler
