#include <LibPooler/RemotePools.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace Pooler {

namespace {

/**
 * An owner that sends nothing for this long counts as silent. Owners report
 * every 150 ms that a request is still queued.
 */
constexpr Core::Duration kOwnerSilenceTimeout = std::chrono::milliseconds(400);

/** How long an owner is avoided after a failure. */
constexpr Core::Duration kSuspectInterval = std::chrono::milliseconds(1500);

/** The number of owners tried before a checkout fails. */
constexpr std::size_t kMaxOwnersTried = 4;

/**
 * The number of idle channels kept for each owner. More are closed, since
 * channels are cheap to open.
 */
constexpr std::size_t kMaxIdleChannels = 8;

} // namespace

/** A channel to an owner, and the checkout that uses it. */
class RemoteChannel final : public CheckoutListener
{
public:
  RemoteChannel(RemotePools& aPools, std::string aOwner)
    : pools_(&aPools)
    , owner_(std::move(aOwner))
  {
  }

  void Open(CheckoutDialer& aDialer, const Wire::Address& aAddress)
  {
    channel_ = aDialer.Open(aAddress, *this);
  }

  const std::string& Owner() const { return owner_; }
  void Request(std::uint64_t aTicket, const CheckoutRequest& aRequest)
  {
    ticket_ = aTicket;
    channel_->SendRequest(aRequest);
  }
  void SetOnLost(std::function<void()> aOnLost)
  {
    onLost_ = std::move(aOnLost);
  }

  void Send(const Sql::DatabaseCommand& aCommand, Sql::ReplyHandler aHandler)
  {
    handlers_.push_back(std::move(aHandler));
    sentAt_ = pools_ != nullptr ? pools_->scheduler_.Now() : sentAt_;
    if (channel_ != nullptr)
      channel_->SendCommand(aCommand);
    else if (pools_ != nullptr)
      pools_->scheduler_.Defer([handlers = std::exchange(handlers_, {})] {
        for (const Sql::ReplyHandler& handler : handlers)
          handler({});
      });
  }

  /**
   * Ends the checkout when the link is destroyed or returned. Without aReturn,
   * or with replies outstanding, the channel is closed.
   */
  void ReturnConnection(const std::optional<CheckoutReturn>& aReturn,
                        const std::shared_ptr<RemoteChannel>& aSelf)
  {
    onLost_ = nullptr;
    if (pools_ == nullptr)
      return;
    const bool hasOutstanding = !handlers_.empty();
    handlers_.clear();
    if (hasOutstanding && pools_->StateOfOwner(owner_).lastSeenAt < sentAt_ &&
        pools_->scheduler_.Now() - sentAt_ >= kOwnerSilenceTimeout)
      pools_->MarkSuspect(owner_, OwnerFailure::Silent);
    if (channel_ == nullptr)
      return;
    if (!aReturn || hasOutstanding) {
      pools_->CloseChannel(*this);
      return;
    }
    channel_->SendReturn(*aReturn);
    pools_->ReleaseChannel(aSelf);
  }

  /** Closes the channel when RemotePools is destroyed, without callbacks. */
  void Detach()
  {
    pools_ = nullptr;
    channel_.reset();
  }
  void Close() { channel_.reset(); }

private:
  void OnGrant(const CheckoutGrant& aGrant) override
  {
    pools_->RecordSeen(owner_);
    pools_->OnGrant(std::exchange(ticket_, 0), aGrant);
  }
  void OnRefusal(CheckoutRefusal aRefusal) override
  {
    const std::uint64_t ticket = std::exchange(ticket_, 0);
    pools_->RecordSeen(owner_);
    if (aRefusal == CheckoutRefusal::NotOwner)
      pools_->MarkSuspect(owner_, OwnerFailure::NotOwner);
    pools_->TryNextOwner(ticket);
  }
  void OnWaiting() override
  {
    pools_->RecordSeen(owner_);
    pools_->RestartSilenceTimer(ticket_);
  }
  void OnReply(Sql::DatabaseReply aReply) override
  {
    pools_->RecordSeen(owner_);
    if (handlers_.empty())
      return;
    const Sql::ReplyHandler handler = std::move(handlers_.front());
    handlers_.pop_front();
    handler(std::move(aReply));
  }
  void OnClosed() override
  {
    RemotePools& pools = *pools_;
    const std::uint64_t ticket = std::exchange(ticket_, 0);
    const auto handlers = std::exchange(handlers_, {});
    const auto onLost = std::exchange(onLost_, nullptr);
    pools.MarkSuspect(owner_, OwnerFailure::Closed);
    pools.CloseChannel(*this);
    for (const Sql::ReplyHandler& handler : handlers)
      handler({});
    if (onLost)
      onLost();
    if (ticket != 0)
      pools.TryNextOwner(ticket);
  }

  RemotePools* pools_;
  std::string owner_;
  std::unique_ptr<CheckoutChannel> channel_;
  /** The pending checkout whose request was sent; 0 if there is none. */
  std::uint64_t ticket_ = 0;
  std::deque<Sql::ReplyHandler> handlers_;
  std::function<void()> onLost_;
  Core::Instant sentAt_ = Core::Instant::min();
};

namespace {

/** The link that borrowers use; ends the checkout when it is destroyed. */
class RemoteLink final : public CheckedOutLink
{
public:
  explicit RemoteLink(std::shared_ptr<RemoteChannel> aChannel)
    : owner_(aChannel->Owner())
    , channel_(std::move(aChannel))
  {
  }
  ~RemoteLink() override
  {
    if (channel_ != nullptr)
      channel_->ReturnConnection(std::nullopt, channel_);
  }
  RemoteLink(const RemoteLink&) = delete;
  RemoteLink& operator=(const RemoteLink&) = delete;

  void Send(const Sql::DatabaseCommand& aCommand,
            Sql::ReplyHandler aHandler) override
  {
    channel_->Send(aCommand, std::move(aHandler));
  }
  void Return(const CheckoutReturn& aReturn) override
  {
    const auto channel = std::exchange(channel_, nullptr);
    channel->ReturnConnection(aReturn, channel);
  }

  const std::string& Owner() const override { return owner_; }

private:
  std::string owner_;
  std::shared_ptr<RemoteChannel> channel_;
};

} // namespace

RemotePools::RemotePools(Core::Scheduler& aScheduler,
                         CheckoutDialer& aDialer,
                         std::string aDataCentre,
                         Metrics::Registry& aMetrics,
                         LogSink aLog)
  : scheduler_(aScheduler)
  , dialer_(aDialer)
  , dataCentre_(std::move(aDataCentre))
  , metrics_(aMetrics)
  , log_(std::move(aLog))
{
}

RemotePools::~RemotePools()
{
  for (const ChannelHandle& channel : channels_)
    channel->Detach();
}

void
RemotePools::SetOwners(const std::string& aGroup, std::vector<Member> aOwners)
{
  owners_[aGroup] = std::move(aOwners);
  RemoveFormerOwners();
}

bool
RemotePools::IsOwner(const std::string& aKey) const
{
  return std::any_of(
    owners_.begin(), owners_.end(), [&aKey](const auto& aEntry) {
      return std::any_of(
        aEntry.second.begin(),
        aEntry.second.end(),
        [&aKey](const Member& aMember) { return aMember.Key() == aKey; });
    });
}

void
RemotePools::RemoveFormerOwners()
{
  std::vector<std::string> formerOwners;
  for (const auto& [key, owner] : ownerStates_) {
    if (owner.inUse == 0 && !IsOwner(key))
      formerOwners.push_back(key);
  }
  for (const std::string& key : formerOwners) {
    const auto idle = idleChannels_[key];
    for (const ChannelHandle& channel : idle)
      CloseChannel(*channel);
    idleChannels_.erase(key);
    ownerStates_.erase(key);
  }
}

std::uint64_t
RemotePools::Checkout(const std::string& aGroup,
                      CheckoutRequest aRequest,
                      Handler aDone,
                      std::function<void()> aOnLost)
{
  const std::uint64_t ticket = ++lastTicket_;
  PendingCheckout pending;
  pending.group = aGroup;
  pending.since = scheduler_.Now();
  pending.due = pending.since + aRequest.dueIn;
  pending.request = std::move(aRequest);
  pending.done = std::move(aDone);
  pending.onLost = std::move(aOnLost);
  pending_.emplace(ticket, std::move(pending));
  TryOwner(ticket);
  return ticket;
}

void
RemotePools::Cancel(std::uint64_t aTicket)
{
  const auto pending = pending_.extract(aTicket);
  if (pending && pending.mapped().channel != nullptr)
    CloseChannel(*pending.mapped().channel);
}

RemotePools::OwnerState
RemotePools::StateOfOwner(const std::string& aKey) const
{
  const auto owner = ownerStates_.find(aKey);
  return owner == ownerStates_.end() ? OwnerState{} : owner->second;
}

std::vector<OwnerCandidate>
RemotePools::Candidates(const std::string& aGroup) const
{
  std::vector<OwnerCandidate> candidates;
  const auto owners = owners_.find(aGroup);
  if (owners == owners_.end())
    return candidates;
  const Core::Instant now = scheduler_.Now();
  for (const Member& owner : owners->second) {
    const OwnerState state = StateOfOwner(owner.Key());
    candidates.push_back({ &owner, state.suspectUntil > now, state.inUse });
  }
  return candidates;
}

bool
RemotePools::PrefersOther(const std::string& aGroup,
                          const std::string& aCustomer) const
{
  const Member* best =
    ChooseOwnerForCustomer(Candidates(aGroup), aGroup, aCustomer);
  return best != nullptr && best->Key() != self_ &&
         StateOfOwner(best->Key()).suspectUntil <= scheduler_.Now();
}

const Member*
RemotePools::ChooseOwner(const PendingCheckout& aPending) const
{
  if (aPending.tried.size() >= kMaxOwnersTried)
    return nullptr;
  auto candidates = Candidates(aPending.group);
  std::erase_if(candidates, [&](const OwnerCandidate& aCandidate) {
    const std::string key = aCandidate.member->Key();
    return key == self_ || aPending.tried.contains(key);
  });
  const std::string& customer = aPending.request.customer;
  return customer.empty()
           ? ChooseNearbyOwner(candidates, dataCentre_)
           : ChooseOwnerForCustomer(candidates, aPending.group, customer);
}

void
RemotePools::TryOwner(std::uint64_t aTicket)
{
  PendingCheckout& pending = pending_.at(aTicket);
  const Member* owner = ChooseOwner(pending);
  if (owner == nullptr) {
    metrics_.Count("checkouts_failed_total");
    scheduler_.Defer([done = std::move(pending.done)] { done({}); });
    pending_.erase(aTicket);
    return;
  }
  pending.tried.insert(owner->Key());
  pending.channel = TakeChannel(*owner);
  pending.requestedAt = scheduler_.Now();
  pending.request.dueIn = pending.due - pending.requestedAt;
  pending.channel->Request(aTicket, pending.request);
  RestartSilenceTimer(aTicket);
}

RemotePools::ChannelHandle
RemotePools::TakeChannel(const Member& aOwner)
{
  const std::string key = aOwner.Key();
  ++ownerStates_[key].inUse;
  auto& idle = idleChannels_[key];
  if (!idle.empty()) {
    ChannelHandle channel = idle.back();
    idle.pop_back();
    return channel;
  }
  ChannelHandle channel = std::make_shared<RemoteChannel>(*this, key);
  channels_.insert(channel);
  channel->Open(dialer_, aOwner.addresses.checkouts);
  return channel;
}

void
RemotePools::RestartSilenceTimer(std::uint64_t aTicket)
{
  const auto pending = pending_.find(aTicket);
  if (pending == pending_.end())
    return;
  pending->second.silenceTimer =
    scheduler_.After(kOwnerSilenceTimeout, [this, aTicket] {
      const ChannelHandle channel = pending_.at(aTicket).channel;
      MarkSuspect(channel->Owner(), OwnerFailure::Silent);
      CloseChannel(*channel);
      TryNextOwner(aTicket);
    });
}

void
RemotePools::OnGrant(std::uint64_t aTicket, const CheckoutGrant& aGrant)
{
  const auto pending = pending_.extract(aTicket);
  if (!pending)
    return;
  metrics_.Count("checkouts_total");
  metrics_.Record("checkout_seconds",
                  scheduler_.Now() - pending.mapped().since);
  pending.mapped().channel->SetOnLost(std::move(pending.mapped().onLost));
  CheckoutOutcome outcome;
  outcome.link = std::make_shared<RemoteLink>(pending.mapped().channel);
  outcome.grant = aGrant;
  outcome.requestedAt = pending.mapped().requestedAt;
  pending.mapped().done(std::move(outcome));
}

void
RemotePools::TryNextOwner(std::uint64_t aTicket)
{
  const auto pending = pending_.find(aTicket);
  if (pending == pending_.end())
    return;
  // After a refusal the channel can be reused for another request.
  const ChannelHandle channel = std::exchange(pending->second.channel, nullptr);
  if (channel != nullptr && channels_.contains(channel))
    ReleaseChannel(channel);
  pending->second.silenceTimer.reset();
  TryOwner(aTicket);
}

void
RemotePools::MarkSuspect(const std::string& aKey, OwnerFailure aFailure)
{
  const Core::Instant now = scheduler_.Now();
  OwnerState& owner = ownerStates_[aKey];
  // Log once for each interval in which the owner is suspect.
  if (owner.suspectUntil < now)
    log_("owner_suspected",
         { { "owner", aKey },
           { "trouble", kOwnerFailureNames.NameOf(aFailure) } });
  owner.suspectUntil = now + kSuspectInterval;
}

void
RemotePools::RecordSeen(const std::string& aKey)
{
  ownerStates_[aKey].lastSeenAt = scheduler_.Now();
}

void
RemotePools::ReleaseChannel(const ChannelHandle& aChannel)
{
  auto& idle = idleChannels_[aChannel->Owner()];
  if (idle.size() >= kMaxIdleChannels) {
    CloseChannel(*aChannel);
    return;
  }
  --ownerStates_[aChannel->Owner()].inUse;
  idle.push_back(aChannel);
}

void
RemotePools::CloseChannel(RemoteChannel& aChannel)
{
  const auto entry = std::find_if(
    channels_.begin(), channels_.end(), [&aChannel](const auto& aHandle) {
      return aHandle.get() == &aChannel;
    });
  if (entry == channels_.end())
    return;
  const ChannelHandle channel = std::move(channels_.extract(entry).value());
  auto& idle = idleChannels_[channel->Owner()];
  const auto idleBefore = idle.size();
  idle.remove(channel);
  if (idle.size() == idleBefore)
    --ownerStates_[channel->Owner()].inUse;
  channel->Close();
}

} // namespace Pooler
