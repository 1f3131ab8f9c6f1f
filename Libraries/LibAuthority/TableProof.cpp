#include <LibAuthority/TableProof.h>

#include <algorithm>

namespace Authority {

void
TableProof::RecordRead(std::uint64_t aVersion, Core::Instant aRequestedAt)
{
  isRead_ = true;
  settled_ = std::max(settled_, aVersion);
  provenAt_ = std::max(provenAt_.value_or(aRequestedAt), aRequestedAt);
  Extend();
}

void
TableProof::RecordKnown(std::uint64_t aVersion)
{
  if (aVersion <= settled_)
    return;
  known_.insert(aVersion);
  Extend();
}

void
TableProof::RecordReached(std::uint64_t aVersion, Core::Instant aRequestedAt)
{
  Core::Instant& requestedAt =
    reached_.try_emplace(aVersion, aRequestedAt).first->second;
  requestedAt = std::max(requestedAt, aRequestedAt);
  Extend();
}

void
TableProof::Extend()
{
  if (!isRead_) {
    LimitWaiting();
    return;
  }
  known_.erase(known_.begin(), known_.upper_bound(settled_));
  while (!known_.empty() && *known_.begin() == settled_ + 1)
    settled_ = known_.extract(known_.begin()).value();
  while (!reached_.empty() && reached_.begin()->first <= settled_) {
    const Core::Instant requestedAt = reached_.begin()->second;
    provenAt_ = std::max(provenAt_.value_or(requestedAt), requestedAt);
    reached_.erase(reached_.begin());
  }
  LimitWaiting();
}

void
TableProof::LimitWaiting()
{
  // What is forgotten only delays the proof until the next read.
  if (known_.size() > kMaxWaiting)
    known_.clear();
  if (reached_.size() > kMaxWaiting)
    reached_.clear();
}

} // namespace Authority
