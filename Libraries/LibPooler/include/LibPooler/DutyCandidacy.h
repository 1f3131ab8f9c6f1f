#pragma once

#include <LibCore/Clock.h>
#include <LibPooler/MemberRoster.h>

#include <optional>
#include <string>

namespace Pooler {

/**
 * Decides when a member may try to acquire the failover duty after its holder
 * has been lost. Without an order, all members would ask the store for the
 * lease at once, and all would write it, in the very moment in which the store
 * also has to take the registrations of restarted members.
 *
 * Members with more processor time come first, since the holder's work grows
 * with the number of members. The first few may try at once; later ones wait,
 * in cohorts that double in size, so that even if most members are gone, the
 * remaining ones soon have their turn.
 */
class DutyCandidacy
{
public:
  /** aSelf is the name of this member's VM. */
  DutyCandidacy(std::string aSelf, double aProcessors);

  /** Reports that a holder is known at present. */
  void OnHolder() { vacantSince_.reset(); }

  /** Reports that there is no holder; the members are those known by now. */
  void OnVacant(const MemberRoster& aRoster, Core::Instant aNow);

  /** True if this member may read the lease. */
  bool MayRead(Core::Instant aNow) const;

  /**
   * True if this member may write the lease. Not at once, so that members that
   * start together know of each other by then.
   */
  bool MayAcquire(Core::Instant aNow) const;

  /** The number of members that come before one of the given name. */
  static std::size_t RankOf(const std::string& aName,
                            double aProcessors,
                            const MemberRoster& aRoster);
  /** How long a member of that rank waits. */
  static Core::Duration DelayOf(std::size_t aRank);

private:
  std::string self_;
  double processors_;
  /** Since when there has been no holder. */
  std::optional<Core::Instant> vacantSince_;
  Core::Duration delay_{ 0 };
};

} // namespace Pooler
