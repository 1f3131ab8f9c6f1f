#include <LibPooler/RemotePools.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace Pooler {

namespace {

/** An owner says every 150 ms that a request still waits. */
constexpr Core::Duration kOwnerSilence = std::chrono::milliseconds(400);

/** How long an owner that was silent or gone is left alone. */
constexpr Core::Duration kSuspicion = std::chrono::milliseconds(1500);

/** So many owners are asked before the request has failed. */
constexpr std::size_t kMaxAsked = 4;

/** Channels that rest beyond this are closed; they are cheap to open. */
constexpr std::size_t kMaxResting = 8;

} // namespace

/** One channel, and what is checked out over it. */
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

  /** The owner of the link has gone or given the connection back. */
  void GiveBack(const std::optional<CheckoutReturn>& aReturn,
                const std::shared_ptr<RemoteChannel>& aSelf)
  {
    onLost_ = nullptr;
    if (pools_ == nullptr)
      return;
    const bool isUnanswered = !handlers_.empty();
    handlers_.clear();
    if (isUnanswered && pools_->OwnerOf(owner_).heardAt < sentAt_ &&
        pools_->scheduler_.Now() - sentAt_ >= kOwnerSilence)
      pools_->Suspect(owner_, OwnerFailure::Silent);
    if (channel_ == nullptr)
      return;
    if (!aReturn || isUnanswered) {
      pools_->Drop(*this);
      return;
    }
    channel_->SendReturn(*aReturn);
    pools_->Rest(aSelf);
  }

  /** Closes it; nothing more is told to anybody. */
  void Abandon()
  {
    pools_ = nullptr;
    channel_.reset();
  }
  void Close() { channel_.reset(); }

private:
  void OnGrant(const CheckoutGrant& aGrant) override
  {
    pools_->Heard(owner_);
    pools_->OnGrant(std::exchange(ticket_, 0), aGrant);
  }
  void OnRefusal(CheckoutRefusal aRefusal) override
  {
    const std::uint64_t ticket = std::exchange(ticket_, 0);
    pools_->Heard(owner_);
    if (aRefusal == CheckoutRefusal::NotOwner)
      pools_->Suspect(owner_, OwnerFailure::NotOwner);
    pools_->AskNext(ticket);
  }
  void OnWaiting() override
  {
    pools_->Heard(owner_);
    pools_->WatchSilence(ticket_);
  }
  void OnReply(Sql::DatabaseReply aReply) override
  {
    pools_->Heard(owner_);
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
    pools.Suspect(owner_, OwnerFailure::Closed);
    pools.Drop(*this);
    for (const Sql::ReplyHandler& handler : handlers)
      handler({});
    if (onLost)
      onLost();
    if (ticket != 0)
      pools.AskNext(ticket);
  }

  RemotePools* pools_;
  std::string owner_;
  std::unique_ptr<CheckoutChannel> channel_;
  /** The wait that this channel's request belongs to; 0: none. */
  std::uint64_t ticket_ = 0;
  std::deque<Sql::ReplyHandler> handlers_;
  std::function<void()> onLost_;
  Core::Instant sentAt_ = Core::Instant::min();
};

namespace {

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
      channel_->GiveBack(std::nullopt, channel_);
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
    channel->GiveBack(aReturn, channel);
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
    channel->Abandon();
}

void
RemotePools::SetOwners(const std::string& aGroup, std::vector<Member> aOwners)
{
  owners_[aGroup] = std::move(aOwners);
  ForgetFormerOwners();
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
RemotePools::ForgetFormerOwners()
{
  std::vector<std::string> former;
  for (const auto& [key, owner] : known_) {
    if (owner.inUse == 0 && !IsOwner(key))
      former.push_back(key);
  }
  for (const std::string& key : former) {
    const auto resting = resting_[key];
    for (const ChannelHandle& channel : resting)
      Drop(*channel);
    resting_.erase(key);
    known_.erase(key);
  }
}

std::uint64_t
RemotePools::Checkout(const std::string& aGroup,
                      CheckoutRequest aRequest,
                      Handler aDone,
                      std::function<void()> aOnLost)
{
  const std::uint64_t ticket = ++lastTicket_;
  Wait wait;
  wait.group = aGroup;
  wait.since = scheduler_.Now();
  wait.due = wait.since + aRequest.dueIn;
  wait.request = std::move(aRequest);
  wait.done = std::move(aDone);
  wait.onLost = std::move(aOnLost);
  waits_.emplace(ticket, std::move(wait));
  Ask(ticket);
  return ticket;
}

void
RemotePools::Cancel(std::uint64_t aTicket)
{
  const auto wait = waits_.extract(aTicket);
  if (wait && wait.mapped().channel != nullptr)
    Drop(*wait.mapped().channel);
}

RemotePools::Owner
RemotePools::OwnerOf(const std::string& aKey) const
{
  const auto owner = known_.find(aKey);
  return owner == known_.end() ? Owner{} : owner->second;
}

bool
RemotePools::IsBetter(const Member& aLeft, const Member& aRight) const
{
  const Core::Instant now = scheduler_.Now();
  const Owner left = OwnerOf(aLeft.Key());
  const Owner right = OwnerOf(aRight.Key());
  const bool isLeftSuspect = left.suspectUntil > now;
  const bool isRightSuspect = right.suspectUntil > now;
  if (isLeftSuspect != isRightSuspect)
    return isRightSuspect;
  const bool isLeftNear = aLeft.dataCentre == dataCentre_;
  const bool isRightNear = aRight.dataCentre == dataCentre_;
  if (isLeftNear != isRightNear)
    return isLeftNear;
  return left.inUse < right.inUse;
}

const Member*
RemotePools::ChooseOwner(const Wait& aWait) const
{
  const auto owners = owners_.find(aWait.group);
  if (owners == owners_.end() || aWait.asked.size() >= kMaxAsked)
    return nullptr;
  const Member* best = nullptr;
  for (const Member& owner : owners->second) {
    if (aWait.asked.contains(owner.Key()))
      continue;
    if (best == nullptr || IsBetter(owner, *best))
      best = &owner;
  }
  return best;
}

void
RemotePools::Ask(std::uint64_t aTicket)
{
  Wait& wait = waits_.at(aTicket);
  const Member* owner = ChooseOwner(wait);
  if (owner == nullptr) {
    metrics_.Count("checkouts_failed_total");
    scheduler_.Defer([done = std::move(wait.done)] { done({}); });
    waits_.erase(aTicket);
    return;
  }
  wait.asked.insert(owner->Key());
  wait.channel = TakeChannel(*owner);
  wait.requestedAt = scheduler_.Now();
  wait.request.dueIn = wait.due - wait.requestedAt;
  wait.channel->Request(aTicket, wait.request);
  WatchSilence(aTicket);
}

RemotePools::ChannelHandle
RemotePools::TakeChannel(const Member& aOwner)
{
  const std::string key = aOwner.Key();
  ++known_[key].inUse;
  auto& resting = resting_[key];
  if (!resting.empty()) {
    ChannelHandle channel = resting.back();
    resting.pop_back();
    return channel;
  }
  ChannelHandle channel = std::make_shared<RemoteChannel>(*this, key);
  channels_.insert(channel);
  channel->Open(dialer_, aOwner.addresses.checkouts);
  return channel;
}

void
RemotePools::WatchSilence(std::uint64_t aTicket)
{
  const auto wait = waits_.find(aTicket);
  if (wait == waits_.end())
    return;
  wait->second.silence = scheduler_.After(kOwnerSilence, [this, aTicket] {
    const ChannelHandle channel = waits_.at(aTicket).channel;
    Suspect(channel->Owner(), OwnerFailure::Silent);
    Drop(*channel);
    AskNext(aTicket);
  });
}

void
RemotePools::OnGrant(std::uint64_t aTicket, const CheckoutGrant& aGrant)
{
  const auto wait = waits_.extract(aTicket);
  if (!wait)
    return;
  metrics_.Count("checkouts_total");
  metrics_.Record("checkout_seconds", scheduler_.Now() - wait.mapped().since);
  wait.mapped().channel->SetOnLost(std::move(wait.mapped().onLost));
  CheckoutOutcome outcome;
  outcome.link = std::make_shared<RemoteLink>(wait.mapped().channel);
  outcome.grant = aGrant;
  outcome.requestedAt = wait.mapped().requestedAt;
  wait.mapped().done(std::move(outcome));
}

void
RemotePools::AskNext(std::uint64_t aTicket)
{
  const auto wait = waits_.find(aTicket);
  if (wait == waits_.end())
    return;
  // A refusal leaves the channel fit for another request.
  const ChannelHandle channel = std::exchange(wait->second.channel, nullptr);
  if (channel != nullptr && channels_.contains(channel))
    Rest(channel);
  wait->second.silence.reset();
  Ask(aTicket);
}

void
RemotePools::Suspect(const std::string& aKey, OwnerFailure aTrouble)
{
  const Core::Instant now = scheduler_.Now();
  Owner& owner = known_[aKey];
  // One line for each spell of trouble.
  if (owner.suspectUntil < now)
    log_("owner_suspected",
         { { "owner", aKey },
           { "trouble", kOwnerFailureNames.NameOf(aTrouble) } });
  owner.suspectUntil = now + kSuspicion;
}

void
RemotePools::Heard(const std::string& aKey)
{
  known_[aKey].heardAt = scheduler_.Now();
}

void
RemotePools::Rest(const ChannelHandle& aChannel)
{
  auto& resting = resting_[aChannel->Owner()];
  if (resting.size() >= kMaxResting) {
    Drop(*aChannel);
    return;
  }
  --known_[aChannel->Owner()].inUse;
  resting.push_back(aChannel);
}

void
RemotePools::Drop(RemoteChannel& aChannel)
{
  const auto found = std::find_if(
    channels_.begin(), channels_.end(), [&aChannel](const auto& aHandle) {
      return aHandle.get() == &aChannel;
    });
  if (found == channels_.end())
    return;
  const ChannelHandle channel = std::move(channels_.extract(found).value());
  auto& resting = resting_[channel->Owner()];
  const auto before = resting.size();
  resting.remove(channel);
  if (resting.size() == before)
    --known_[channel->Owner()].inUse;
  channel->Close();
}

} // namespace Pooler
