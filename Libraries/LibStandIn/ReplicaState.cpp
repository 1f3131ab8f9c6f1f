#include <LibStandIn/ReplicaState.h>

#include <algorithm>
#include <utility>

namespace StandIn {

ReplicaState::ReplicaState(ReplicaMeta aMeta,
                           std::vector<LogEntry> aLog,
                           ReplicaStorage& aStorage)
  : meta_(std::move(aMeta))
  , log_(std::move(aLog))
  , storage_(aStorage)
{
}

Term
ReplicaState::TermAt(std::uint64_t aPosition) const
{
  if (aPosition == 0 || aPosition > log_.size())
    return 0;
  return log_[aPosition - 1].term;
}

bool
ReplicaState::Promise(Term aTerm,
                      const std::string& aOwner,
                      Core::LastReason& aReason)
{
  if (aTerm < meta_.promised) {
    aReason.Set("term " + std::to_string(meta_.promised) + " is promised");
    return false;
  }
  if (aTerm == meta_.promised) {
    if (aOwner == meta_.owner)
      return true;
    aReason.Set("term " + std::to_string(aTerm) + " is promised to " +
                meta_.owner);
    return false;
  }
  meta_.promised = aTerm;
  meta_.owner = aOwner;
  role_ = ReplicaRole::Fenced;
  primary_.clear();
  storage_.SaveMeta(meta_);
  return true;
}

bool
ReplicaState::Fence(Term aTerm,
                    const std::string& aOwner,
                    const IdentityMap& aAdmitted,
                    Core::LastReason& aReason)
{
  if (!Promise(aTerm, aOwner, aReason))
    return false;
  // Every voter learns the new identity from the fence that admits it. A
  // competing promoter that holds a vote of the old identity, even for a later
  // term, therefore learns from its next vote that the old one is void.
  for (const auto& [name, identity] : aAdmitted) {
    meta_.identities[name] = identity;
    if (meta_.joining && identity == meta_.identity)
      meta_.admittedBy = aTerm;
  }
  if (!aAdmitted.empty())
    storage_.SaveMeta(meta_);
  return true;
}

bool
ReplicaState::Promote(Term aTerm,
                      const std::string& aOwner,
                      Core::LastReason& aReason)
{
  if (aTerm != meta_.promised || aOwner != meta_.owner) {
    aReason.Set("term " + std::to_string(meta_.promised) + " is promised to " +
                meta_.owner);
    return false;
  }
  if (role_ == ReplicaRole::Primary)
    return true;
  if (meta_.joining) {
    aReason.Set("this database lost its file and has not caught up");
    return false;
  }
  if (role_ == ReplicaRole::Follower) {
    aReason.Set("this database follows " + primary_ + " in the same term");
    return false;
  }
  role_ = ReplicaRole::Primary;
  meta_.logTerm = aTerm;
  promotedAt_ = log_.size();
  storage_.SaveMeta(meta_);
  return true;
}

bool
ReplicaState::Follow(Term aTerm,
                     const std::string& aOwner,
                     const std::string& aPrimary,
                     Core::LastReason& aReason)
{
  if (!Promise(aTerm, aOwner, aReason))
    return false;
  if (role_ == ReplicaRole::Primary) {
    aReason.Set("this database is the primary of that term");
    return false;
  }
  role_ = ReplicaRole::Follower;
  primary_ = aPrimary;
  return true;
}

LogPosition
ReplicaState::Append(std::string aPayload)
{
  log_.push_back({ meta_.logTerm, std::move(aPayload) });
  storage_.Append(log_.back());
  return Log();
}

std::optional<LogBatch>
ReplicaState::Serve(const LogRequest& aRequest, std::size_t aMaxEntries) const
{
  if (!IsPrimary() || aRequest.term != meta_.promised)
    return std::nullopt;
  LogBatch batch;
  batch.term = meta_.promised;
  batch.promotedAt = promotedAt_;
  batch.afterPosition = aRequest.afterPosition;
  batch.afterTerm = aRequest.afterTerm;
  if (aRequest.afterPosition > log_.size()) {
    batch.retryFrom = log_.size();
    return batch;
  }
  if (TermAt(aRequest.afterPosition) != aRequest.afterTerm) {
    // Terms never decrease along a log, so the follower has no entry of a term
    // after afterTerm up to this position. The primary's entries of later terms
    // cannot match and are skipped in one step.
    std::uint64_t place = aRequest.afterPosition - 1;
    while (place > 0 && TermAt(place) > aRequest.afterTerm)
      --place;
    batch.retryFrom = place;
    return batch;
  }
  batch.matched = true;
  const std::size_t end =
    std::min<std::size_t>(log_.size(), aRequest.afterPosition + aMaxEntries);
  batch.entries.assign(log_.begin() +
                         static_cast<std::ptrdiff_t>(aRequest.afterPosition),
                       log_.begin() + static_cast<std::ptrdiff_t>(end));
  return batch;
}

AcceptResult
ReplicaState::Accept(const LogBatch& aBatch)
{
  AcceptResult result;
  if (role_ != ReplicaRole::Follower || aBatch.term != meta_.promised ||
      !aBatch.matched || aBatch.afterPosition > log_.size() ||
      TermAt(aBatch.afterPosition) != aBatch.afterTerm)
    return result;
  result.accepted = true;
  AppendEntries(aBatch, result);

  // Only entries of the new term may follow the point of promotion.
  if (log_.size() > aBatch.promotedAt &&
      TermAt(aBatch.promotedAt + 1) != aBatch.term)
    TruncateTo(aBatch.promotedAt, result);

  const std::uint64_t verified = aBatch.afterPosition + aBatch.entries.size();
  if (verified < aBatch.promotedAt || meta_.logTerm == aBatch.term)
    return result;
  meta_.logTerm = aBatch.term;
  if (meta_.joining && meta_.admittedBy == aBatch.term)
    meta_.joining = false;
  storage_.SaveMeta(meta_);
  return result;
}

void
ReplicaState::AppendEntries(const LogBatch& aBatch, AcceptResult& aResult)
{
  std::uint64_t place = aBatch.afterPosition;
  for (const LogEntry& entry : aBatch.entries) {
    ++place;
    if (place <= log_.size() && TermAt(place) == entry.term)
      continue;
    if (place <= log_.size())
      TruncateTo(place - 1, aResult);
    log_.push_back(entry);
    storage_.Append(entry);
    if (aResult.firstNew == 0)
      aResult.firstNew = place;
  }
}

void
ReplicaState::TruncateTo(std::uint64_t aPosition, AcceptResult& aResult)
{
  log_.resize(aPosition);
  storage_.TruncateTo(aPosition);
  aResult.cut = true;
}

} // namespace StandIn
