#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/Clock.h>

#include <optional>
#include <string>

namespace Authority {

/** How long a duty is held, and how much of that is kept as a margin. */
struct DutyLeaseTiming
{
  /** A successor waits this long without seeing the row change. */
  Core::Duration duration{ 0 };
  /** The holder stops this much earlier by its own clock. */
  Core::Duration safety{ 0 };
  /** The holder writes the row this often. */
  Core::Duration renewal{ 0 };
};

/**
 * A duty that one node at a time performs, held as a row of the store.
 *
 * The holder rewrites the row; whoever sees it unchanged for the duration, by
 * its own clock, may take it. The fencing token is the store's version at the
 * acquisition, so it rises from holder to holder.
 */
class DutyLease
{
public:
  /** aSelf names this process; no other process, nor a later one, may use it.
   */
  DutyLease(std::string aKey, std::string aSelf, DutyLeaseTiming aTiming);

  /** The store held aRow (version 0: none) at some moment after aRequestedAt.
   */
  void Observe(const StoredRow& aRow, Core::Instant aNow);

  /** The write to make now, if any; OnWritten must follow. */
  std::optional<StoredRow> NextWrite(Core::Instant aNow);

  /** How the write that NextWrite gave at aRequestedAt ended. */
  void OnWritten(const WriteOutcome& aOutcome, Core::Instant aRequestedAt);

  /** The write that gives the duty up; none while it isn't held. */
  std::optional<StoredRow> Release(Core::Instant aNow);

  /** True when it is held for at least aMargin more. */
  bool HoldsFor(Core::Instant aNow, Core::Duration aMargin) const;
  bool Holds(Core::Instant aNow) const
  {
    return HoldsFor(aNow, Core::Duration::zero());
  }

  /** The fencing token of this tenure; 0 while there is none. */
  std::uint64_t Token() const { return token_; }
  const std::string& Self() const { return self_; }
  /** The process that holds it as far as is known; empty for nobody. */
  const std::string& Holder() const { return holder_; }

private:
  std::string key_;
  std::string self_;
  DutyLeaseTiming timing_;
  /** The row as last observed or written. */
  std::uint64_t version_ = 0;
  std::string holder_;
  bool hasObserved_ = false;
  Core::Instant unchangedSince_{};
  Core::Instant heldUntil_{};
  Core::Instant nextRenewal_{};
  std::uint64_t token_ = 0;
  bool isWriting_ = false;
  bool isReleased_ = false;
};

} // namespace Authority
