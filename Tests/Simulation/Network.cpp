#include "Network.h"

namespace Simulation {

namespace {

constexpr std::uint64_t kMinDelayMicroseconds = 500;
constexpr std::uint64_t kDelaySpreadMicroseconds = 1500;
constexpr std::uint64_t kMaxLateMicroseconds = 3'000'000;
constexpr std::uint64_t kThousand = 1000;

} // namespace

void
Network::Send(const std::string& aFrom,
              const std::string& aTo,
              ActorTime& aToTime,
              std::function<void()> aTask)
{
  const bool isCut = outgoingCut_.contains(aFrom) || incomingCut_.contains(aTo);
  const auto draw = static_cast<int>(random_.Below(kThousand));
  if (isCut || draw < lossPerThousand_)
    return;
  std::uint64_t delay =
    kMinDelayMicroseconds + random_.Below(kDelaySpreadMicroseconds);
  if (static_cast<int>(random_.Below(kThousand)) < latePerThousand_)
    delay += random_.Below(kMaxLateMicroseconds);
  aToTime.DeferFor(Core::Duration(static_cast<std::int64_t>(delay)),
                   std::move(aTask));
}

void
Network::Cut(const std::string& aName, bool aIncoming, bool aOutgoing)
{
  if (aIncoming)
    incomingCut_.insert(aName);
  if (aOutgoing)
    outgoingCut_.insert(aName);
}

void
Network::Heal(const std::string& aName)
{
  incomingCut_.erase(aName);
  outgoingCut_.erase(aName);
}

void
Network::HealAll()
{
  incomingCut_.clear();
  outgoingCut_.clear();
  lossPerThousand_ = 0;
  latePerThousand_ = 0;
}

} // namespace Simulation
