#include <LibPooler/Node.h>

#include <utility>

namespace Pooler {

namespace {

/** A primary that has responded within this time counts as reached. */
constexpr Core::Duration kMaxReachedAge = std::chrono::milliseconds(700);

} // namespace

bool
Node::IsNotifiedOfChanges() const
{
  if (duty_.Holds())
    return duty_.KnowsAllChanges() && membership_.HasResponsiveMembers();
  return scheduler_.Now() - Membership::kHeartbeatTimeout < holderConfirmedAt_;
}

void
Node::FetchRecordsFromPeer()
{
  const std::vector<Member> others = membership_.Others();
  if (isFetchingFromPeer_ || others.empty())
    return;
  isFetchingFromPeer_ = true;
  const Core::Instant requestedAt = scheduler_.Now();
  links_.peers.FetchRecords(
    others[nextPeer_++ % others.size()],
    memberKey_,
    [this, requestedAt](const std::vector<RelayedRecord>& aRecords) {
      isFetchingFromPeer_ = false;
      OnRelayedRecords(aRecords, requestedAt);
    });
}

void
Node::OnRelayedRecords(const std::vector<RelayedRecord>& aRecords,
                       Core::Instant aRequestedAt)
{
  for (const RelayedRecord& relayed : aRecords) {
    // The peer responded after aRequestedAt, so counting the age back from
    // aRequestedAt gives a time no later than the peer's store request.
    Core::Instant requestedAt = Authority::kNoRequestTime;
    if (relayed.age && membership_.CoversRequest(aRequestedAt - *relayed.age))
      requestedAt = aRequestedAt - *relayed.age;
    Observe(relayed.record, requestedAt);
  }
}

void
Node::RenewByHeartbeat(const Heartbeat& aHeartbeat)
{
  const bool isAddressee = aHeartbeat.receiver == memberKey_;
  if (!isAddressee || !aHeartbeat.echo || !aHeartbeat.newestRecord ||
      !membership_.CoversRequest(*aHeartbeat.echo))
    return;
  holderConfirmedAt_ = scheduler_.Now();
  const RecordVersions& records = duty_.Records();
  const bool hasNewest = records.Newest() == *aHeartbeat.newestRecord;
  // A node may lack one group's record and know a later one of another group.
  const bool hasAll =
    hasNewest &&
    records.Digest() == aHeartbeat.recordsDigest.value_or(records.Digest());
  const bool mayLackRecords =
    records.Newest() < *aHeartbeat.newestRecord || (hasNewest && !hasAll);
  if (mayLackRecords && feeds_ != nullptr)
    feeds_->RefreshOwnRows();
  if (!hasAll)
    return;
  for (auto& [name, router] : routers_)
    router->RenewAuthority(*aHeartbeat.echo);
}

HeartbeatResponse
Node::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  membership_.OnHeartbeat(aHeartbeat);
  quotas_.OnHeartbeat(aHeartbeat);
  RenewByHeartbeat(aHeartbeat);
  keys_.OnHeartbeat(aHeartbeat, memberKey_, configuration_, scheduler_.Now());
  HeartbeatResponse response;
  if (feeds_ != nullptr) {
    feeds_->OnSeenByPeer(aHeartbeat.seen);
    response.seen = feeds_->Seen();
  }
  const Core::Instant now = scheduler_.Now();
  response.delivery = PeerDelivery::Answered;
  response.clock = now;
  response.overloadedGroups = overload_.Overloaded();
  for (const auto& [name, router] : routers_) {
    const auto newest = router->Samples().Newest();
    if (newest && now - *newest < kMaxReachedAge)
      response.reachedGroups.insert(name);
  }
  return response;
}

void
Node::OnRecord(const Authority::GroupRecord& aRecord)
{
  Observe(aRecord, Authority::kNoRequestTime);
}

std::vector<RelayedRecord>
Node::RecordsFor(const std::string& aMemberKey) const
{
  const Member* requester = membership_.Roster().Find(aMemberKey);
  const bool isMember = requester != nullptr && !requester->isExpelled;
  const Core::Instant now = scheduler_.Now();
  std::vector<RelayedRecord> records;
  for (const auto& [name, router] : routers_) {
    const Authority::PrimaryAuthority& authority = router->Authority();
    if (!authority.Record())
      continue;
    RelayedRecord relayed{ *authority.Record(), std::nullopt };
    if (isMember && authority.Holds(now))
      relayed.age = now - authority.RequestedAt();
    records.push_back(std::move(relayed));
  }
  return records;
}

} // namespace Pooler
