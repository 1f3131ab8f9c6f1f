#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibWire/Address.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pooler {

/** Where other processes of the system reach one. */
struct MemberAddresses
{
  /** Answers heartbeats and questions of its peers. */
  Wire::Address peers;
  /** Passes connections on to databases. */
  Wire::Address relay;
  /** Lets others use its connections to databases. */
  Wire::Address checkouts;
};

/** A process of the system, as its row in the store names it. */
struct Member
{
  std::string name;
  /** Tells the processes of one VM apart. */
  std::string incarnation;
  std::string dataCentre;
  MemberAddresses addresses;
  /** The processor time that it may use, in cores. */
  double processors = 1;
  /** It is taken to be gone, though its authority may not have ended yet. */
  bool isExpelled = false;
  /** The version of its row. */
  std::uint64_t version = 0;

  std::string Key() const { return name + '#' + incarnation; }
};

/** How a message to a peer ended. */
enum class PeerDelivery
{
  /** The process that was meant has answered. */
  Answered,
  /** Another process answers there: the one that was meant has ended. */
  Ended,
  /** No answer. */
  Silent,
};

inline constexpr Core::EnumNames<PeerDelivery, 3> kPeerDeliveryNames{ {
  { { PeerDelivery::Answered, "answered" },
    { PeerDelivery::Ended, "ended" },
    { PeerDelivery::Silent, "silent" } },
} };

/** The newest versions among the store's rows that a process has seen. */
struct SeenRows
{
  std::uint64_t configuration = 0;
  std::uint64_t databases = 0;
  std::uint64_t own = 0;
};

/** What a peer knows of one group's primary. */
struct RelayedRecord
{
  Authority::GroupRecord record;
  /**
   * How long before its answer the peer asked the question that its authority
   * rests on; none if it has no authority.
   */
  std::optional<Core::Duration> age;
};

/** What the holder of the failover duty tells the others all the time. */
struct Heartbeat
{
  std::string sender;
  /** The process that is meant. */
  std::string receiver;
  /**
   * The receiver's clock as its last answer gave it; none before the first.
   * What the sender knows is younger than that.
   */
  std::optional<Core::Instant> echo;
  /**
   * The newest version among the groups' records. There is no newer record,
   * since only the sender may write one. None when it can't say so.
   */
  std::optional<std::uint64_t> newestRecord;
  /** The sender gives the duty up; another one should take it. */
  bool resigns = false;
  SeenRows seen{};
};

/** What a member says in answer. */
struct HeartbeatResponse
{
  PeerDelivery delivery = PeerDelivery::Silent;
  /** The member's clock when it answered. */
  std::optional<Core::Instant> clock;
  /** The groups whose primary has answered it a moment ago. */
  std::set<std::string> reachedGroups;
  /** The groups whose primary can't keep up while all replicas are behind. */
  std::set<std::string> overloadedGroups;
  SeenRows seen{};
};

/** Messages to other nodes; each handler runs once, never from inside. */
class PeerLink
{
public:
  virtual ~PeerLink() = default;

  virtual void SendHeartbeat(const Member& aMember,
                             const Heartbeat& aHeartbeat,
                             std::function<void(HeartbeatResponse)> aDone) = 0;

  /**
   * Tells a member of a record. Once it has answered it acts by that record,
   * or by a newer one.
   */
  virtual void SendRecord(const Member& aMember,
                          const Authority::GroupRecord& aRecord,
                          std::function<void(PeerDelivery)> aDone) = 0;

  /**
   * Asks a member for its records in the name of the process aSelf; empty if
   * there is no answer.
   */
  virtual void FetchRecords(
    const Member& aMember,
    const std::string& aSelf,
    std::function<void(std::vector<RelayedRecord>)> aDone) = 0;
};

/** What a node answers to its peers. */
class PeerHandler
{
public:
  virtual ~PeerHandler() = default;
  virtual const std::string& MemberKey() const = 0;
  /** Gives the answer that is sent back. */
  virtual HeartbeatResponse OnHeartbeat(const Heartbeat& aHeartbeat) = 0;
  virtual void OnRecord(const Authority::GroupRecord& aRecord) = 0;
  /**
   * Ages are given only to a process that takes part, so that an expelled one
   * can't keep authority by asking others.
   */
  virtual std::vector<RelayedRecord> RecordsFor(
    const std::string& aMemberKey) const = 0;
};

} // namespace Pooler
