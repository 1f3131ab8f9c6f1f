#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>
#include <LibPooler/Peers.h>

#include <optional>
#include <vector>

namespace Pooler {

/**
 * The members that a restored store has forgotten, and that may hold authority
 * over primaries nevertheless.
 *
 * A store that is restored from an older copy lacks the members that registered
 * since. They register again once they reach the store; until then, they may
 * use a primary for as long as their authority lasts. A process that starts
 * after the restoration can't know them, only that there may be some.
 */
class ForgottenMembers
{
public:
  /**
   * aLongestAuthority is how long after the restoration a member's authority
   * ends at the latest.
   */
  explicit ForgottenMembers(Core::Duration aLongestAuthority)
    : longestAuthority_(aLongestAuthority)
  {
  }

  /**
   * Reports that a snapshot of aVersion is about to replace the list of members
   * that was read up to aPreviousVersion (0: none was read). Returns true if
   * the store has been restored in between.
   */
  bool OnSnapshotBegins(std::uint64_t aVersion,
                        std::uint64_t aPreviousVersion,
                        const std::vector<Member>& aListed,
                        Core::Instant aNow);

  /** Reports a group's record as known to this node. */
  void OnRecord(const Authority::GroupRecord& aRecord, Core::Instant aNow);

  /** Returns aListed and the known members that may hold authority besides. */
  std::vector<Member> WithForgotten(std::vector<Member> aListed,
                                    Core::Instant aNow) const;

  /**
   * Until when members that this process has never known may hold authority;
   * Instant::min() if there are none.
   */
  Core::Instant UnknownUntil() const { return unknownUntil_; }

private:
  Core::Duration longestAuthority_;
  /** The listed members before the latest restoration. */
  std::vector<Member> known_;
  Core::Instant knownUntil_ = Core::Instant::min();
  /** The store's era when this process first read its rows. */
  std::optional<std::uint64_t> firstEra_;
  Core::Instant unknownUntil_ = Core::Instant::min();
};

} // namespace Pooler
