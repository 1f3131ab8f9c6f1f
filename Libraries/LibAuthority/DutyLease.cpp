#include <LibAuthority/DutyLease.h>

#include <boost/json.hpp>

#include <utility>

namespace Authority {

namespace {

/** What the lease's row says. */
struct LeaseContent
{
  /** Empty if the lease has been released. */
  std::string holder;
  /** The version of the row that this one replaced. */
  std::uint64_t basis = 0;
};

std::string
ToText(const LeaseContent& aContent)
{
  const boost::json::object json{ { "holder", aContent.holder },
                                  { "basis", aContent.basis } };
  return boost::json::serialize(json);
}

/**
 * Earlier releases write the holder's name only, or nothing. Any other text
 * counts as the name of a holder as well, so that the lease has to expire.
 */
LeaseContent
ParseContent(const std::string& aText)
{
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(aText, error);
  const boost::json::object* fields = error ? nullptr : json.if_object();
  const auto* holder = fields ? fields->if_contains("holder") : nullptr;
  const auto* basis = fields ? fields->if_contains("basis") : nullptr;
  if (holder == nullptr || !holder->is_string() || basis == nullptr)
    return { aText };
  LeaseContent content{ std::string(holder->as_string()) };
  content.basis = basis->to_number<std::uint64_t>(error);
  return error ? LeaseContent{ aText } : content;
}

} // namespace

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
  const bool isNewVersion = !hasObserved_ || aRow.version > version_;
  hasObserved_ = true;
  if (!isNewVersion)
    return;
  const LeaseContent content = ParseContent(aRow.value);
  version_ = aRow.version;
  holder_ = content.holder;
  basis_ = content.basis;
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

bool
DutyLease::IsRowOfCurrentEra() const
{
  return StoreEraOf(basis_) == StoreEraOf(version_);
}

bool
DutyLease::IsTokenOfCurrentEra() const
{
  return token_ != 0 && StoreEraOf(token_) == StoreEraOf(version_);
}

bool
DutyLease::MayWrite(Core::Instant aNow) const
{
  if (holder_ == self_ && Holds(aNow))
    return true;
  // A row from before a restoration of the store may name an earlier holder, or
  // none, while the last one still holds the lease.
  const bool isExpired = aNow - unchangedSince_ > timing_.duration;
  const bool isUnheld = holder_.empty() || holder_ == self_;
  return isExpired || (isUnheld && IsRowOfCurrentEra());
}

std::optional<StoredRow>
DutyLease::NextWrite(Core::Instant aNow)
{
  if (!hasObserved_ || isWriting_ || isReleased_)
    return std::nullopt;
  if (holder_ == self_ && aNow < nextRenewal_)
    return std::nullopt;
  if (!MayWrite(aNow))
    return std::nullopt;
  isWriting_ = true;
  return RowOf(self_);
}

StoredRow
DutyLease::RowOf(const std::string& aHolder) const
{
  return { key_, ToText({ aHolder, version_ }), version_ };
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
  basis_ = version_;
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
  return RowOf("");
}

bool
DutyLease::HoldsFor(Core::Instant aNow, Core::Duration aMargin) const
{
  return holder_ == self_ && !isReleased_ && aNow + aMargin < heldUntil_;
}

} // namespace Authority
