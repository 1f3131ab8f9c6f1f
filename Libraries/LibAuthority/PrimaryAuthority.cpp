#include <LibAuthority/PrimaryAuthority.h>

#include <algorithm>

namespace Authority {

bool
PrimaryAuthority::Observe(const GroupRecord& aRecord, Core::Instant aAskedAt)
{
  if (record_ && aRecord.version < record_->version)
    return false;
  const bool isNew = !record_ || aRecord.version > record_->version;
  if (isNew) {
    // A lease belongs to the primary that it was given for.
    if (!record_ || record_->term != aRecord.term || aRecord.change)
      until_ = {};
    record_ = aRecord;
    isRevoked_ = false;
  }
  Renew(aAskedAt);
  return isNew;
}

void
PrimaryAuthority::Renew(Core::Instant aAskedAt)
{
  if (record_ && !record_->change && !isRevoked_)
    until_ = std::max(until_, aAskedAt + lease_);
}

void
PrimaryAuthority::Revoke()
{
  until_ = {};
  isRevoked_ = true;
}

bool
PrimaryAuthority::Holds(Core::Instant aNow) const
{
  return record_ && !record_->change && aNow < until_;
}

bool
PrimaryAuthority::HoldsFor(Session::Term aTerm, Core::Instant aNow) const
{
  return Holds(aNow) && record_->term == aTerm;
}

} // namespace Authority
