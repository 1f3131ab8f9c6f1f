#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Authority {

/**
 * Proves since when this node can't have missed a change of one table that
 * others write, without asking for that table.
 *
 * The store numbers all transactions in one sequence, and each response tells
 * the newest number. A node that has received all changes of the table up to
 * one version, and knows what each transaction since then has written, knows of
 * each change of the table up to the newest of these versions. A request that
 * was sent before a response told this version proves that no change was
 * acknowledged before the request that this node doesn't know.
 *
 * Unlike VersionLedger, which counts an unknown version as settled once the
 * tables are requested anew, this class counts only what has been received.
 */
class TableProof
{
public:
  /** Versions that may wait for one below them; more are forgotten. */
  static constexpr std::size_t kMaxWaiting = 4096;

  /**
   * All changes of the table up to aVersion have been received and applied, in
   * the response to a request that was sent at aRequestedAt.
   */
  void RecordRead(std::uint64_t aVersion, Core::Instant aRequestedAt);

  /**
   * The transaction of this version is known not to have changed the table:
   * this node made it, or has received a row of another table with it.
   */
  void RecordKnown(std::uint64_t aVersion);

  /**
   * The response to a request that was sent at aRequestedAt has told that the
   * store has reached this version.
   */
  void RecordReached(std::uint64_t aVersion, Core::Instant aRequestedAt);

  /**
   * Each change that was acknowledged before this instant has been received;
   * none if no complete read of the table has been received.
   */
  std::optional<Core::Instant> ProvenAt() const { return provenAt_; }

private:
  void Extend();
  void LimitWaiting();

  bool isRead_ = false;
  /** All changes of the table up to this version have been received. */
  std::uint64_t settled_ = 0;
  /** The known versions above it. */
  std::set<std::uint64_t> known_;
  /** By version above `settled_`: when the request that told it was sent. */
  std::map<std::uint64_t, Core::Instant> reached_;
  std::optional<Core::Instant> provenAt_;
};

} // namespace Authority
