#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>

#include <optional>

namespace Authority {

/**
 * Request time for a record that grants no authority, because it did not come
 * as the reply to a request, or because that request cannot be relied on.
 */
inline constexpr Core::Instant kNoRequestTime = Core::Instant::min();

/**
 * How long authority lasts, by kind of statement. Counts from the time of the
 * request whose reply showed the current primary.
 */
struct AuthorityLease
{
  /**
   * For writes and transactions that may write. A database that has stepped
   * down refuses them itself, so this lease need not expire in that case.
   */
  Core::Duration fenced{ 0 };
  /** For plain reads, which a former primary still serves as a replica. */
  Core::Duration plainReads{ 0 };
};

/**
 * A read lease on a group's record: this node's right to use its primary.
 *
 * A store reply that shows no change of primary proves that none had begun when
 * the request was sent. A node that replaces a primary first writes the start
 * of the change to the store. It then waits until all nodes have confirmed that
 * they gave up their authority, until the old primary has ended, or for longer
 * than the lease lasts. Therefore, until this node's lease, counted from the
 * request time, has expired, no other database can have been promoted, unless
 * the old primary has ended or stepped down.
 */
class PrimaryAuthority
{
public:
  explicit PrimaryAuthority(AuthorityLease aLease)
    : lease_(aLease)
  {
  }

  /**
   * Processes a record that the store held at some time after aRequestedAt.
   * Returns true if its row or its content is newer than the known one.
   *
   * After the store was restored from a copy, the newest row may have an older
   * content than a record that a node has read before, or that another node
   * sends. The newest content and the newest row's version are kept, in
   * whichever order they arrive. A record that was written before the
   * restoration grants no authority until the holder of the failover duty has
   * confirmed it, since later changes may be lost.
   */
  bool Observe(const GroupRecord& aRecord, Core::Instant aRequestedAt);

  /** Extends the lease: a request sent at aRequestedAt showed no new record. */
  void Renew(Core::Instant aRequestedAt);

  /**
   * True while no other database can have been promoted, unless this primary
   * has stepped down first. In that case the primary itself refuses writes and
   * transactions that may write, but still serves plain reads.
   */
  bool Holds(Core::Instant aNow) const;

  /** True while no other database can have been promoted at all. */
  bool HoldsForPlainReads(Core::Instant aNow) const;

  /** True while Holds() is true and aPrimary is the primary of aTerm. */
  bool HoldsFor(const std::string& aPrimary,
                Session::Term aTerm,
                Core::Instant aNow) const;

  const std::optional<GroupRecord>& Record() const { return record_; }
  /** The request time from which the lease counts. */
  Core::Instant RequestedAt() const { return requestedAt_; }

private:
  bool HoldsWithin(Core::Duration aLease, Core::Instant aNow) const;

  AuthorityLease lease_;
  std::optional<GroupRecord> record_;
  Core::Instant requestedAt_ = kNoRequestTime;
};

} // namespace Authority
