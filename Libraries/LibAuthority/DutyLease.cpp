#include <LibAuthority/DutyLease.h>

#include <utility>

namespace Authority {

DutyLease::DutyLease(std::string aKey,
                     std::string aSelf,
                     DutyLeaseTiming aTiming)
  : key_(std::move(aKey))
  , self_(std::move(aSelf))
  , timing_(aTiming)
{
}

void
DutyLease::Observe(const StoredRow& aRow, Core::Instant aNow)
{
  NoteVersion(aRow.version, aNow);
  const bool isNewVersion = !hasObserved_ || aRow.version > version_;
  hasObserved_ = true;
  if (!isNewVersion)
    return;
  version_ = aRow.version;
  holder_ = aRow.value;
  unchangedSince_ = aNow;
  if (holder_ != self_) {
    heldUntil_ = {};
    token_ = 0;
    return;
  }
  // This process wrote the row, but the reply was lost, so the time from which
  // the lease counts is unknown. Renew at once; the lease counts from the
  // request time of that renewal.
  if (!IsTokenOfCurrentEra())
    token_ = aRow.version;
  nextRenewal_ = aNow;
}

void
DutyLease::NoteVersion(std::uint64_t aVersion, Core::Instant aNow)
{
  const std::uint64_t era = StoreEraOf(aVersion);
  if (era_ && era <= *era_)
    return;
  if (era_)
    noTakeoverBefore_ = aNow + timing_.duration;
  era_ = era;
}

bool
DutyLease::IsTokenOfCurrentEra() const
{
  return token_ != 0 && StoreEraOf(token_) == StoreEraOf(version_);
}

std::optional<StoredRow>
DutyLease::NextWrite(Core::Instant aNow)
{
  if (!hasObserved_ || isWriting_ || isReleased_)
    return std::nullopt;
  const bool isMine = holder_ == self_;
  if (isMine && aNow < nextRenewal_)
    return std::nullopt;
  // The row of a restored store may name an earlier holder, or none, while the
  // last one still holds the lease.
  const bool isRenewal = isMine && Holds(aNow);
  if (!isRenewal && aNow < noTakeoverBefore_)
    return std::nullopt;
  const bool isFree = StoreNumberOf(version_) == 0 || holder_.empty() ||
                      aNow - unchangedSince_ > timing_.duration;
  if (!isMine && !isFree)
    return std::nullopt;
  isWriting_ = true;
  return StoredRow{ key_, self_, version_ };
}

void
DutyLease::OnWritten(const WriteOutcome& aOutcome, Core::Instant aRequestedAt)
{
  isWriting_ = false;
  nextRenewal_ = aRequestedAt + timing_.renewal;
  // The row has changed; it must be read again before the next write.
  if (aOutcome.result == WriteResult::Conflict)
    hasObserved_ = false;
  if (aOutcome.result != WriteResult::Applied || aOutcome.version < version_)
    return;
  const bool isRenewal = IsTokenOfCurrentEra() && holder_ == self_;
  version_ = aOutcome.version;
  if (!isRenewal || !IsTokenOfCurrentEra())
    token_ = aOutcome.version;
  holder_ = self_;
  unchangedSince_ = aRequestedAt;
  heldUntil_ = aRequestedAt + timing_.duration - timing_.safetyMargin;
}

std::optional<StoredRow>
DutyLease::Release(Core::Instant aNow)
{
  const bool isHeld = Holds(aNow);
  isReleased_ = true;
  heldUntil_ = {};
  if (!isHeld || isWriting_)
    return std::nullopt;
  return StoredRow{ key_, "", version_ };
}

bool
DutyLease::HoldsFor(Core::Instant aNow, Core::Duration aMargin) const
{
  return holder_ == self_ && !isReleased_ && aNow + aMargin < heldUntil_;
}

} // namespace Authority
