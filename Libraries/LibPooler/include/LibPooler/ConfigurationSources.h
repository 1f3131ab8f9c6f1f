#pragma once

#include <LibCore/Clock.h>
#include <LibPooler/Member.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pooler {

/**
 * Decides from where a node requests the configuration. Some members of each
 * data centre read it from the store; the others ask them. So a change crosses
 * a link between data centres a few times, and not once for each node.
 *
 * No node depends on another one. Once a node knows that there is a newer
 * configuration and its source hasn't delivered it in time, it asks others of
 * its region, and the nodes of a region turn to the store in cohorts that
 * double, so that they don't all load its link at once.
 */
class ConfigurationSources
{
public:
  /** In a region with no more members, all read the store. */
  static constexpr std::size_t kSmallRegion = 10;
  /** Members of a larger region's data centre for each that reads the store. */
  static constexpr std::size_t kMembersPerReader = 24;
  /** How long the first source may take to deliver a newer configuration. */
  static constexpr Core::Duration kPatience = std::chrono::milliseconds(800);
  /** The same, while its own transfer proceeds. */
  static constexpr Core::Duration kLongestPatience =
    std::chrono::milliseconds(2000);
  /** How long a node that has lost its reader asks only other peers. */
  static constexpr Core::Duration kPeersFirst = std::chrono::milliseconds(200);
  /** The time between two cohorts that turn to the store. */
  static constexpr Core::Duration kCohortDelay = std::chrono::milliseconds(400);
  static constexpr std::size_t kFirstCohort = 2;
  /** Nodes of a region that turn to the store while nobody notifies them. */
  static constexpr std::size_t kUnnotifiedCohort = 4;
  /** How long a peer that failed isn't asked. */
  static constexpr Core::Duration kSuspicion = std::chrono::seconds(5);

  explicit ConfigurationSources(std::string aSelf);

  /** Sets the active members, this node included. */
  void SetMembers(const std::vector<Member>& aMembers);
  /** The holder of the failover duty reads the store, as all rely on it. */
  void SetHoldsDuty(bool aHolds) { holdsDuty_ = aHolds; }

  /**
   * Whether heartbeats tell this node of newer configurations. Without them it
   * relies on no single peer, as that may lag behind without knowing it.
   */
  void SetNotified(bool aIsNotified) { isNotified_ = aIsNotified; }

  /** There is a newer configuration than this node's. */
  void OnNewerKnown(Core::Instant aNow);
  /** This node has the newest configuration that it knows of. */
  void OnReceived();
  void OnPeerFailed(const std::string& aMemberKey, Core::Instant aNow);
  /** A peer has nothing newer yet, but is receiving it. */
  void OnPeerReceiving(std::size_t aBytes, Core::Instant aNow);
  void OnStoreAnswered() { hasStoreFailed_ = false; }
  void OnStoreFailed() { hasStoreFailed_ = true; }

  /** Returns the member to ask; none for the store. */
  std::optional<Member> Choose(Core::Instant aNow);

  /** True if this node reads the store unless that fails. */
  bool IsReader() const;

private:
  bool IsSuspected(const Member& aMember, Core::Instant aNow) const;
  std::optional<Member> FirstReader(Core::Instant aNow) const;
  std::optional<Member> ChooseWithStoreFirst(Core::Instant aNow);
  std::optional<Member> ChooseOnceImpatient(Core::Instant aNow);
  std::optional<Member> ChooseUnnotified(Core::Instant aNow);
  /** The next member that isn't suspected; none if all are. */
  std::optional<Member> NextOther(Core::Instant aNow);
  /** True if this node's cohort may turn to the store. */
  bool MayReadStore(Core::Instant aNow) const;

  std::string self_;
  bool isReader_ = true;
  bool holdsDuty_ = false;
  bool isNotified_ = false;
  /** The readers of the data centre, this node's own one first. */
  std::vector<Member> readers_;
  /** All other members of the region, those that read the store first. */
  std::vector<Member> others_;
  /** Nodes of the region that come before this one in turning to the store. */
  std::size_t rank_ = 0;
  std::size_t nextOther_ = 0;
  std::map<std::string, Core::Instant> suspectedUntil_;
  std::optional<Core::Instant> newerSince_;
  /** When this node stops, or has stopped, waiting for its reader alone. */
  std::optional<Core::Instant> impatientAt_;
  std::size_t receivingBytes_ = 0;
  bool hasStoreFailed_ = false;
  bool wasPeerAsked_ = false;
  /** While nobody notifies this node: whether its reader was asked last. */
  bool wasReaderAsked_ = false;
};

} // namespace Pooler
