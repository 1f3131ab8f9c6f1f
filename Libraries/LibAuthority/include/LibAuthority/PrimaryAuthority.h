#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>

#include <optional>

namespace Authority {

/**
 * The request time of a record that did not come as the reply to a request, or
 * to one that cannot be relied on. Such a record grants no authority.
 */
inline constexpr Core::Instant kNoRequestTime = Core::Instant::min();

/**
 * How long authority lasts from the request that showed the current primary,
 * by kind of statement.
 */
struct AuthorityLease
{
  /**
   * For writes and transactions that may write: a database that has stepped
   * down refuses them itself.
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
 * of the change to the store, and then waits for longer than the lease lasts.
 * Therefore no other database can have been promoted until the lease, counted
 * from the request time, has expired.
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
   * Returns true if it is newer than the known record. Ignores an older one.
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
