#include <LibAuthority/PrimaryAuthority.h>

#include <algorithm>

namespace Authority {

bool
PrimaryAuthority::Observe(const GroupRecord& aRecord,
                          Core::Instant aRequestedAt)
{
  if (record_ && aRecord.version < record_->version)
    return false;
  const bool isNew = !record_ || aRecord.version > record_->version;
  const bool isOutdated = record_ && aRecord.basis < record_->basis;
  if (isNew && isOutdated) {
    // A restored store has brought back a record that has been replaced since.
    // Only its version counts: the next write replaces this row.
    record_->version = aRecord.version;
  } else if (isNew) {
    // A lease is valid only for the primary that it was granted for.
    if (!record_ || record_->term != aRecord.term ||
        record_->primary != aRecord.primary || aRecord.change)
      requestedAt_ = kNoRequestTime;
    record_ = aRecord;
  }
  Renew(aRequestedAt);
  return isNew;
}

void
PrimaryAuthority::Renew(Core::Instant aRequestedAt)
{
  if (record_ && !record_->change && record_->IsOfCurrentEra())
    requestedAt_ = std::max(requestedAt_, aRequestedAt);
}

bool
PrimaryAuthority::HoldsWithin(Core::Duration aLease, Core::Instant aNow) const
{
  return record_ && !record_->change && requestedAt_ != kNoRequestTime &&
         aNow - requestedAt_ < aLease;
}

bool
PrimaryAuthority::Holds(Core::Instant aNow) const
{
  return HoldsWithin(lease_.fenced, aNow);
}

bool
PrimaryAuthority::HoldsForPlainReads(Core::Instant aNow) const
{
  return HoldsWithin(lease_.plainReads, aNow);
}

bool
PrimaryAuthority::HoldsFor(const std::string& aPrimary,
                           Session::Term aTerm,
                           Core::Instant aNow) const
{
  return Holds(aNow) && record_->primary == aPrimary && record_->term == aTerm;
}

} // namespace Authority
