#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/Clock.h>

#include <optional>
#include <string>

namespace Authority {

/** The durations of a duty lease. */
struct DutyLeaseTiming
{
  /** A successor may take the lease once the row is unchanged for this long. */
  Core::Duration duration{ 0 };
  /** The holder stops acting this long before the lease ends. */
  Core::Duration safetyMargin{ 0 };
  /** The interval at which the holder rewrites the row. */
  Core::Duration renewal{ 0 };
};

/**
 * A lease on a duty that one node at a time performs, kept as a store row.
 *
 * The holder rewrites the row regularly. A node that sees the row unchanged for
 * the lease duration, by its own clock, may take the lease over. The fencing
 * token is the row's version at the acquisition, so it increases from holder to
 * holder, also when the store is restored from an older copy. This class
 * performs no I/O: the caller reads and writes the row.
 */
class DutyLease
{
public:
  /**
   * aSelf identifies this process. It must be unique across all processes,
   * including later runs of the same node.
   */
  DutyLease(std::string aKey, std::string aSelf, DutyLeaseTiming aTiming);

  /**
   * Processes a row that was read from the store (version 0: no row). aNow is
   * the time at which the reply came. A row that was written before the store
   * was restored is free only once it has been unchanged for the lease
   * duration, since the last holder may be one that the store has forgotten.
   */
  void Observe(const StoredRow& aRow, Core::Instant aNow);

  /** True if the row must be read before the next write. */
  bool NeedsRead() const { return !hasObserved_; }

  /** Returns the write to send now, if any; OnWritten must follow. */
  std::optional<StoredRow> NextWrite(Core::Instant aNow);

  /** Processes the result of the write that NextWrite gave at aRequestedAt. */
  void OnWritten(const WriteOutcome& aOutcome, Core::Instant aRequestedAt);

  /**
   * Stops holding the lease for good. Returns the write that frees the row;
   * none if the lease is not held or another write is under way.
   */
  std::optional<StoredRow> Release(Core::Instant aNow);

  /** True if the lease is held for at least aMargin from aNow. */
  bool HoldsFor(Core::Instant aNow, Core::Duration aMargin) const;
  bool Holds(Core::Instant aNow) const
  {
    return HoldsFor(aNow, Core::Duration::zero());
  }

  /** The fencing token of the current lease period; 0 if there is none. */
  std::uint64_t Token() const { return token_; }
  const std::string& Self() const { return self_; }
  /** The last known holder; empty if there is none. */
  const std::string& Holder() const { return holder_; }

private:
  /**
   * True if the row was written in the era in which it was read. Otherwise the
   * store may have lost later writes of it in a restoration.
   */
  bool IsRowOfCurrentEra() const;
  bool IsTokenOfCurrentEra() const;
  bool MayWrite(Core::Instant aNow) const;
  StoredRow RowOf(const std::string& aHolder) const;

  std::string key_;
  std::string self_;
  DutyLeaseTiming timing_;
  /** The row's version as last observed or written. */
  std::uint64_t version_ = 0;
  std::string holder_;
  /** The version of the row that the known one replaced. */
  std::uint64_t basis_ = 0;
  bool hasObserved_ = false;
  Core::Instant unchangedSince_{};
  Core::Instant heldUntil_{};
  Core::Instant nextRenewal_{};
  std::uint64_t token_ = 0;
  bool isWriting_ = false;
  bool isReleased_ = false;
};

} // namespace Authority
