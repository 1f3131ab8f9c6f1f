#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibPooler/ConfigurationProof.h>
#include <LibPooler/Member.h>
#include <LibQuota/Messages.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pooler {

/** The outcome of sending a message to a peer. */
enum class PeerDelivery
{
  /** The intended process has responded. */
  Answered,
  /** Another process responds at its address: the intended one has ended. */
  Ended,
  /** No response. */
  Silent,
};

inline constexpr Core::EnumNames<PeerDelivery, 3> kPeerDeliveryNames{ {
  { { PeerDelivery::Answered, "answered" },
    { PeerDelivery::Ended, "ended" },
    { PeerDelivery::Silent, "silent" } },
} };

/**
 * The newest row version that a process has seen in each set of store rows.
 * Peers exchange these so that a process that lags behind reads the store.
 */
struct SeenVersions
{
  std::uint64_t configuration = 0;
  std::uint64_t databases = 0;
  std::uint64_t own = 0;
};

/** A group's record as known by a peer, with the age of its authority. */
struct RelayedRecord
{
  Authority::GroupRecord record;
  /**
   * The time between the store request on which the peer's authority is based
   * and the peer's response; none if the peer has no authority.
   */
  std::optional<Core::Duration> age;
};

/** Sent periodically by the holder of the failover duty to all members. */
struct Heartbeat
{
  std::string sender;
  /** The member key of the intended process. */
  std::string receiver;
  /**
   * The receiver's clock as given in its last response; none before the first.
   * The sender's state in this heartbeat was valid after that instant.
   */
  std::optional<Core::Instant> echo;
  /**
   * The newest version among the groups' records. No newer record exists,
   * since only the sender may write one. None if the sender may have missed
   * records of earlier holders.
   */
  std::optional<std::uint64_t> newestRecord;
  /** The sender releases the duty; another member should acquire it. */
  bool resigns = false;
  SeenVersions seen{};
  /**
   * RecordVersions::Digest() of the sender, with newestRecord. Holders of
   * earlier releases don't send it.
   */
  std::optional<std::uint64_t> recordsDigest{};
  /** None if withdrawals of keys aren't strict, or the sender has no proof. */
  std::optional<ProvenConfiguration> configuration{};
};

/** A member's response to a heartbeat. */
struct HeartbeatResponse
{
  PeerDelivery delivery = PeerDelivery::Silent;
  /** The member's clock when it sent the response. */
  std::optional<Core::Instant> clock;
  /** Groups whose primary has responded to this member recently. */
  std::set<std::string> reachedGroups;
  /** Groups whose primary is overloaded while all replicas lag behind. */
  std::set<std::string> overloadedGroups;
  SeenVersions seen{};
};

/**
 * Sends messages to other nodes. Each handler runs exactly once, never before
 * the call that received it has returned.
 */
class PeerLink
{
public:
  virtual ~PeerLink() = default;

  virtual void SendHeartbeat(const Member& aMember,
                             const Heartbeat& aHeartbeat,
                             std::function<void(HeartbeatResponse)> aDone) = 0;

  /**
   * Sends records to a member. A member that has responded acts on each of
   * them, or on a newer one of the same group.
   */
  virtual void SendRecords(const Member& aMember,
                           const std::vector<Authority::GroupRecord>& aRecords,
                           std::function<void(PeerDelivery)> aDone) = 0;

  /**
   * Requests a member's records on behalf of the process with the key aSelf.
   * The result is empty if there is no response.
   */
  virtual void FetchRecords(
    const Member& aMember,
    const std::string& aSelf,
    std::function<void(std::vector<RelayedRecord>)> aDone) = 0;

  /**
   * Requests shares of customers' quotas from the holder of the failover duty.
   * The result is none if there is no response.
   */
  virtual void RequestShares(
    const Member& aMember,
    const Quota::ShareRequest& aRequest,
    std::function<void(std::optional<Quota::ShareResponse>)> aDone) = 0;
};

/** Handles messages of peers. */
class PeerHandler
{
public:
  virtual ~PeerHandler() = default;
  virtual const std::string& MemberKey() const = 0;
  /** Returns the response to send. */
  virtual HeartbeatResponse OnHeartbeat(const Heartbeat& aHeartbeat) = 0;
  virtual void OnRecord(const Authority::GroupRecord& aRecord) = 0;
  /**
   * Returns all known records. Ages are included only if aMemberKey is a
   * current member, so that an expelled process can't retain authority by
   * requesting records from peers.
   */
  virtual std::vector<RelayedRecord> RecordsFor(
    const std::string& aMemberKey) const = 0;
  virtual Quota::ShareResponse OnShareRequest(
    const Quota::ShareRequest& aRequest) = 0;
};

} // namespace Pooler
