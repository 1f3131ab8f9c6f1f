#include <LibAuthority/VersionLedger.h>

#include <algorithm>

namespace Authority {

void
VersionLedger::RecordKnown(std::uint64_t aVersion)
{
  if (aVersion > settled_)
    known_.insert(aVersion);
}

void
VersionLedger::RecordReached(std::uint64_t aVersion, Core::Instant aNow)
{
  const std::uint64_t before = settled_;
  const bool wasSettled = settled_ >= reached_;
  reached_ = std::max(reached_, aVersion);
  while (!known_.empty() && *known_.begin() == settled_ + 1)
    settled_ = known_.extract(known_.begin()).value();
  if (wasSettled || settled_ > before)
    unsettledSince_ = aNow;
}

bool
VersionLedger::TakeMissed(Core::Instant aNow)
{
  const bool isOverdue =
    settled_ < reached_ && aNow - unsettledSince_ > kArrivalLimit;
  if (!isPaused_ && !isOverdue)
    return false;
  Settle();
  return true;
}

void
VersionLedger::Pause()
{
  Settle();
  isPaused_ = true;
}

void
VersionLedger::Settle()
{
  isPaused_ = false;
  settled_ = std::max(settled_, reached_);
  known_.erase(known_.begin(), known_.upper_bound(settled_));
}

} // namespace Authority
