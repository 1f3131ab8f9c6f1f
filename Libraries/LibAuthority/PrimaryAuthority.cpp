#include <LibAuthority/PrimaryAuthority.h>

#include <algorithm>

namespace Authority {

bool
PrimaryAuthority::Observe(const GroupRecord& aRecord,
                          Core::Instant aRequestedAt)
{
  if (!record_) {
    record_ = aRecord;
    Renew(aRequestedAt);
    return true;
  }
  const bool isOldRow = aRecord.version < record_->version;
  const bool isNewRow = aRecord.version > record_->version;
  const bool isNewContent = aRecord.IsNewerThan(*record_);
  // The next write replaces the newest row, whatever its content.
  const std::uint64_t version = std::max(aRecord.version, record_->version);
  if (isNewContent) {
    // A lease is valid only for the primary that it was granted for.
    if (record_->term != aRecord.term || record_->primary != aRecord.primary ||
        aRecord.change)
      requestedAt_ = kNoRequestTime;
    record_ = aRecord;
  }
  record_->version = version;
  if (!isOldRow)
    Renew(aRequestedAt);
  return isNewRow || isNewContent;
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
