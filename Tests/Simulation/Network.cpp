#include "Network.h"

namespace Simulation {

namespace {

constexpr std::uint64_t kLeastMicroseconds = 500;
constexpr std::uint64_t kSpreadMicroseconds = 1500;
constexpr std::uint64_t kMostLateMicroseconds = 3'000'000;
constexpr std::uint64_t kThousand = 1000;

} // namespace

void
Network::Send(const std::string& aFrom,
              const std::string& aTo,
              ActorTime& aToTime,
              std::function<void()> aTask)
{
  const bool isCut = mute_.contains(aFrom) || deaf_.contains(aTo);
  const auto draw = static_cast<int>(random_.Below(kThousand));
  if (isCut || draw < lossPerThousand_)
    return;
  std::uint64_t delay = kLeastMicroseconds + random_.Below(kSpreadMicroseconds);
  if (static_cast<int>(random_.Below(kThousand)) < latePerThousand_)
    delay += random_.Below(kMostLateMicroseconds);
  aToTime.DeferFor(Core::Duration(static_cast<std::int64_t>(delay)),
                   std::move(aTask));
}

void
Network::Cut(const std::string& aName, bool aIncoming, bool aOutgoing)
{
  if (aIncoming)
    deaf_.insert(aName);
  if (aOutgoing)
    mute_.insert(aName);
}

void
Network::Heal(const std::string& aName)
{
  deaf_.erase(aName);
  mute_.erase(aName);
}

void
Network::HealAll()
{
  deaf_.clear();
  mute_.clear();
  lossPerThousand_ = 0;
  latePerThousand_ = 0;
}

} // namespace Simulation
