#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <set>

namespace Authority {

/**
 * Notices that changes of the store's rows haven't reached this node. The store
 * numbers all transactions in one sequence, and each response tells the newest
 * number. A node that knows of all writes, since it has received their rows or
 * made them itself, therefore sees from any response that one is missing. It
 * needs no request of its own for that, and no error on a connection.
 *
 * Only the holder of the failover duty knows of all writes: those that renew
 * its lease are in a table that no node follows.
 */
class VersionLedger
{
public:
  /** How long a row may be on its way, with the pause between two polls. */
  static constexpr Core::Duration kArrivalLimit =
    std::chrono::milliseconds(700);

  /** A row of this version was received, or a write of this node had it. */
  void RecordKnown(std::uint64_t aVersion);
  /** A response has shown that the store has reached this version. */
  void RecordReached(std::uint64_t aVersion, Core::Instant aNow);

  /**
   * Returns true if a version has been unknown for kArrivalLimit, or if this is
   * the first call since Pause. All versions up to now then count as known, as
   * the caller requests all changes anew.
   */
  bool TakeMissed(Core::Instant aNow);
  /** Must be called while this node doesn't know of all writes. */
  void Pause();

private:
  void Settle();

  /** All versions up to this one are known. */
  std::uint64_t settled_ = 0;
  /** The known versions above it. */
  std::set<std::uint64_t> known_;
  std::uint64_t reached_ = 0;
  /** Since when `settled_` is below `reached_`, unless it has risen since. */
  Core::Instant unsettledSince_{};
  bool isPaused_ = true;
};

} // namespace Authority
