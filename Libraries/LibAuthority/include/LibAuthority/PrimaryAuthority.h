#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>

#include <optional>

namespace Authority {

/** A time before all others, for questions that prove nothing. */
inline constexpr Core::Instant kNever = Core::Instant::min();

/** How long an answer that shows no change may be relied upon. */
struct AuthorityLease
{
  /** For what the database itself refuses once it has stepped down. */
  Core::Duration fenced{ 0 };
  /** For plain reads, which a former primary answers like any replica. */
  Core::Duration plainReads{ 0 };
};

/**
 * This node's right to use a group's primary: a lease of knowledge.
 *
 * An answer that shows no change of primary proves that none had begun when
 * the question was asked. Whoever replaces a primary first writes that a
 * change begins, and then waits for longer than a lease lasts. So until the
 * lease that began with the question is over, no other database can have been
 * promoted.
 */
class PrimaryAuthority
{
public:
  explicit PrimaryAuthority(AuthorityLease aLease)
    : lease_(aLease)
  {
  }

  /**
   * The store held aRecord at some moment after aRequestedAt. Gives true when
   * that is news. An older record than the known one is ignored.
   */
  bool Observe(const GroupRecord& aRecord, Core::Instant aRequestedAt);

  /** No new record came in answer to a question that was asked at aRequestedAt.
   */
  void Renew(Core::Instant aRequestedAt);

  /**
   * True while no other primary can have been promoted, unless this one has
   * stepped down and refuses writes and transactions that may write.
   */
  bool Holds(Core::Instant aNow) const;

  /** True while no other primary can have been promoted at all. */
  bool HoldsForPlainReads(Core::Instant aNow) const;

  /** True while it holds for the primary aPrimary of aTerm. */
  bool HoldsFor(const std::string& aPrimary,
                Session::Term aTerm,
                Core::Instant aNow) const;

  const std::optional<GroupRecord>& Record() const { return record_; }
  /** When the question was asked that the lease rests on. */
  Core::Instant RequestedAt() const { return requestedAt_; }

private:
  bool HoldsWithin(Core::Duration aLease, Core::Instant aNow) const;

  AuthorityLease lease_;
  std::optional<GroupRecord> record_;
  Core::Instant requestedAt_ = kNever;
};

} // namespace Authority
