#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Random.h>
#include <LibMembership/FleetView.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

enum class MemberState
{
  Alive,
  /** Did not respond; becomes Dead unless it responds within a timeout. */
  Suspect,
  /** Announced that it is stopping. */
  Left,
  Dead,
};

inline constexpr Core::EnumNames<MemberState, 4> kMemberStateNames{ {
  { { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Left, "left" },
    { MemberState::Dead, "dead" } },
} };

/**
 * State of a member as distributed by gossip. An update replaces one with a
 * lower incarnation, or one with the same incarnation whose MemberState comes
 * earlier in the order of the enum.
 */
struct MemberUpdate
{
  Member member;
  MemberState state = MemberState::Alive;
  /**
   * Increases with each start of the member and each time that it refutes a
   * suspicion.
   */
  std::uint64_t incarnation = 0;

  boost::json::object ToJson() const;
  static std::optional<MemberUpdate> FromJson(const boost::json::value& aValue,
                                              Core::LastReason& aReason);
};

struct MemberTableSettings
{
  /** Time after which a suspect member is declared dead. */
  Core::Duration suspect = std::chrono::milliseconds(800);
  /** A longer gap between pings means that this process was paused. */
  Core::Duration pauseGap = std::chrono::milliseconds(1500);
};

/**
 * Gossip-based membership table of one member. Each period it selects one
 * other member to ping, and every ping carries membership updates, so that
 * the cost per member does not grow with the number of members.
 */
class MemberTable
{
public:
  MemberTable(Member aSelf,
              std::uint64_t aIncarnation,
              const MemberTableSettings& aSettings,
              Core::Random& aRandom);

  void SetSettings(const MemberTableSettings& aSettings);

  /** Applies the platform's list: which members exist, not which are alive. */
  void SetListedMembers(const std::vector<Member>& aMembers,
                        Core::Instant aNow);

  /** Returns the member to ping now; absent when there is no other. */
  std::optional<Member> NextToPing(Core::Instant aNow);

  /** Records that neither a direct nor an indirect ping was answered. */
  void OnUnreachable(const std::string& aName, Core::Instant aNow);
  /** Records a response of the member. */
  void OnReachable(const std::string& aName, Core::Instant aNow);

  /**
   * Applies an update received from a peer. Returns true when it adds a member
   * or changes a member's state.
   */
  bool Take(const MemberUpdate& aUpdate, Core::Instant aNow);

  /**
   * Returns the updates to send with the next message, least often sent
   * first, and counts them as sent.
   */
  std::vector<MemberUpdate> UpdatesToSend();
  MemberUpdate OwnUpdate() const;

  /** Marks this member as stopping. */
  void Leave();

  /** Increases whenever AvailableMembers() may have changed. */
  std::uint64_t Revision() const { return revision_; }
  /**
   * Members that are given work, including this one: alive or suspect, not
   * stopping and not listed as leaving.
   */
  std::vector<Member> AvailableMembers() const;
  /** Returns up to aMaxCount other alive members, in random order. */
  std::vector<Member> RandomAlivePeers(std::size_t aMaxCount);
  std::vector<MemberUpdate> All() const;

private:
  struct Entry
  {
    MemberUpdate update;
    bool isListed = false;
    Core::Instant changedAt;
    /** The number of messages in which this update has been sent. */
    int timesSent = 0;
  };

  void Expire(Core::Instant aNow);
  void SetState(Entry& aEntry, MemberState aState, Core::Instant aNow);
  bool RefuteIfSelf(const MemberUpdate& aUpdate);
  int SendLimit() const;

  Member self_;
  std::uint64_t incarnation_;
  bool isLeaving_ = false;
  std::uint64_t revision_ = 0;
  MemberTableSettings settings_;
  Core::Random& random_;
  std::map<std::string, Entry> entries_;
  std::deque<std::string> pingOrder_;
  int selfTimesSent_ = 0;
  std::optional<Core::Instant> lastPingAt_;
};

} // namespace Membership
