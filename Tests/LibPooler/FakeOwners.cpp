#include "FakeOwners.h"

#include <utility>

namespace Fakes {

namespace {

constexpr Core::Duration kOneWay = std::chrono::milliseconds(1);

} // namespace

/** Both ends of a channel, with a latency of 1 ms each way. */
class FakeChannel final
  : public Pooler::CheckoutPort
  , public std::enable_shared_from_this<FakeChannel>
{
public:
  FakeChannel(Simulation::VirtualTime& aTime,
              FakeOwner* aOwner,
              Pooler::CheckoutListener& aListener)
    : time_(aTime)
    , owner_(aOwner)
    , listener_(&aListener)
  {
    if (owner_ != nullptr)
      session_ =
        std::make_unique<Pooler::CheckoutSession>(aTime, *owner_, *this);
  }

  /** Delivers a message to the owner's session unless the channel is closed. */
  void ToOwner(std::function<void(Pooler::CheckoutSession&)> aTask)
  {
    Later([task = std::move(aTask)](FakeChannel& aSelf) {
      if (aSelf.session_ != nullptr && !aSelf.owner_->isFrozen)
        task(*aSelf.session_);
    });
  }

  void SendGrant(const Pooler::CheckoutGrant& aGrant) override
  {
    ToListener([aGrant](auto& aListener) { aListener.OnGrant(aGrant); });
  }
  void SendRefusal(Pooler::CheckoutRefusal aRefusal) override
  {
    ToListener([aRefusal](auto& aListener) { aListener.OnRefusal(aRefusal); });
  }
  void SendWaiting() override
  {
    ToListener([](auto& aListener) { aListener.OnWaiting(); });
  }
  void SendReply(const Sql::DatabaseReply& aReply) override
  {
    ToListener([aReply](auto& aListener) { aListener.OnReply(aReply); });
  }
  void Close() override { CloseOwnerEnd(); }

  /** Closes the owner's end and notifies the borrower. */
  void CloseOwnerEnd()
  {
    Later([](FakeChannel& aSelf) {
      aSelf.session_.reset();
      if (auto* listener = std::exchange(aSelf.listener_, nullptr))
        listener->OnClosed();
    });
  }

  /** Closes the borrower's end. */
  void CloseBorrowerEnd()
  {
    listener_ = nullptr;
    Later([](FakeChannel& aSelf) { aSelf.session_.reset(); });
  }

private:
  void ToListener(std::function<void(Pooler::CheckoutListener&)> aTask)
  {
    if (owner_->isFrozen)
      return;
    Later([task = std::move(aTask)](FakeChannel& aSelf) {
      if (aSelf.listener_ != nullptr)
        task(*aSelf.listener_);
    });
  }

  void Later(std::function<void(FakeChannel&)> aTask)
  {
    time_.DeferFor(
      kOneWay,
      [self = shared_from_this(), task = std::move(aTask)] { task(*self); });
  }

  Simulation::VirtualTime& time_;
  FakeOwner* owner_;
  Pooler::CheckoutListener* listener_;
  std::unique_ptr<Pooler::CheckoutSession> session_;
};

namespace {

class BorrowerEnd final : public Pooler::CheckoutChannel
{
public:
  explicit BorrowerEnd(std::shared_ptr<FakeChannel> aChannel)
    : channel_(std::move(aChannel))
  {
  }
  ~BorrowerEnd() override { channel_->CloseBorrowerEnd(); }
  BorrowerEnd(const BorrowerEnd&) = delete;
  BorrowerEnd& operator=(const BorrowerEnd&) = delete;

  void SendRequest(const Pooler::CheckoutRequest& aRequest) override
  {
    channel_->ToOwner(
      [aRequest](auto& aSession) { aSession.OnRequest(aRequest); });
  }
  void SendCommand(const Sql::DatabaseCommand& aCommand) override
  {
    channel_->ToOwner(
      [aCommand](auto& aSession) { aSession.OnCommand(aCommand); });
  }
  void SendReturn(const Pooler::CheckoutReturn& aReturn) override
  {
    channel_->ToOwner(
      [aReturn](auto& aSession) { aSession.OnReturn(aReturn); });
  }

private:
  std::shared_ptr<FakeChannel> channel_;
};

} // namespace

Pooler::Member
FakeOwners::MemberOf(const std::string& aName, const std::string& aDataCentre)
{
  Pooler::Member member;
  member.name = aName;
  member.incarnation = std::string(1, '1');
  member.dataCentre = aDataCentre;
  member.addresses.checkouts = { aName, 1 };
  return member;
}

void
FakeOwners::Kill(const std::string& aName)
{
  owners_.erase(aName);
  const auto [first, last] = channels_.equal_range(aName);
  for (auto entry = first; entry != last; ++entry) {
    if (const auto channel = entry->second.lock())
      channel->CloseOwnerEnd();
  }
}

std::unique_ptr<Pooler::CheckoutChannel>
FakeOwners::Open(const Wire::Address& aAddress,
                 Pooler::CheckoutListener& aListener)
{
  const auto owner = owners_.find(aAddress.host);
  FakeOwner* reached = owner == owners_.end() ? nullptr : &owner->second;
  const auto channel = std::make_shared<FakeChannel>(time_, reached, aListener);
  if (reached == nullptr)
    channel->CloseOwnerEnd();
  else
    ++reached->openedChannels;
  channels_.emplace(aAddress.host, channel);
  return std::make_unique<BorrowerEnd>(channel);
}

} // namespace Fakes
