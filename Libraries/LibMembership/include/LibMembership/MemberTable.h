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
  /** Did not answer; dead unless it speaks up in time. */
  Suspect,
  /** Said that it is stopping. */
  Left,
  Dead,
};

inline constexpr Core::EnumNames<MemberState, 4> kMemberStateNames{ {
  { { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Left, "left" },
    { MemberState::Dead, "dead" } },
} };

/** What one member says of another; the later incarnation wins. */
struct MemberNews
{
  Member member;
  MemberState state = MemberState::Alive;
  /** Rises with each start of the member and each denial of a suspicion. */
  std::uint64_t incarnation = 0;

  boost::json::object ToJson() const;
  static std::optional<MemberNews> FromJson(const boost::json::value& aValue,
                                            Core::LastReason& aReason);
};

struct MemberTableSettings
{
  /** A suspect that stays silent this long is dead. */
  Core::Duration suspect = std::chrono::milliseconds(800);
  /** A gap between ticks from which this process was paused. */
  Core::Duration pauseGap = std::chrono::milliseconds(1500);
};

/**
 * Who takes part, as one member knows it: pings one other member a period and
 * passes news on with every ping, so that its cost does not grow with the
 * number of members.
 */
class MemberTable
{
public:
  MemberTable(Member aSelf,
              std::uint64_t aIncarnation,
              const MemberTableSettings& aSettings,
              Core::Random& aRandom);

  void SetSettings(const MemberTableSettings& aSettings);

  /** Takes the platform's list: it tells who exists, not who is alive. */
  void SetListed(const std::vector<Member>& aMembers, Core::Instant aNow);

  /** The member to ping now; absent while there is none. */
  std::optional<Member> NextToPing(Core::Instant aNow);

  /** A ping went unanswered, also through helpers. */
  void OnSilent(const std::string& aName, Core::Instant aNow);
  void OnHeard(const std::string& aName, Core::Instant aNow);

  /** Takes what another member passed on. True when it changed something. */
  bool Take(const MemberNews& aNews, Core::Instant aNow);

  /** News to pass on with the next message; the least told first. */
  std::vector<MemberNews> NewsToTell();
  MemberNews OwnNews() const;

  /** This member is stopping. */
  void Leave();

  /** Rises whenever Working() may have changed. */
  std::uint64_t Revision() const { return revision_; }
  /** Members that are given work: alive or suspected, not stopping. */
  std::vector<Member> Working() const;
  /** Up to aMost others that are alive, at random. */
  std::vector<Member> SomeOthers(std::size_t aMost);
  std::vector<MemberNews> All() const;

private:
  struct Entry
  {
    MemberNews news;
    bool isListed = false;
    Core::Instant changedAt;
    /** How often this news has been passed on. */
    int told = 0;
  };

  void Expire(Core::Instant aNow);
  void Change(Entry& aEntry, MemberState aState, Core::Instant aNow);
  bool DenyIfSelf(const MemberNews& aNews);
  int TellLimit() const;

  Member self_;
  std::uint64_t incarnation_;
  bool isLeaving_ = false;
  std::uint64_t revision_ = 0;
  MemberTableSettings settings_;
  Core::Random& random_;
  std::map<std::string, Entry> entries_;
  std::deque<std::string> pingOrder_;
  int selfTold_ = 0;
  std::optional<Core::Instant> lastTick_;
};

} // namespace Membership
