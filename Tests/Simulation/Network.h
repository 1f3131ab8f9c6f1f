#pragma once

#include "VirtualTime.h"

#include <LibCore/Random.h>

#include <set>
#include <string>

namespace Simulation {

/** Carries messages between actors, late, out of order, or not at all. */
class Network
{
public:
  explicit Network(Core::Random& aRandom)
    : random_(aRandom)
  {
  }

  /** Runs aTask at aTo's time when the message arrives, if it does. */
  void Send(const std::string& aFrom,
            const std::string& aTo,
            ActorTime& aToTime,
            std::function<void()> aTask);

  /** Cuts aName off from everybody, for messages to or from it. */
  void Cut(const std::string& aName, bool aIncoming, bool aOutgoing);
  void Heal(const std::string& aName);
  void HealAll();

  /** Of a thousand messages, how many are lost, and how many very late. */
  void SetLoss(int aPerThousand) { lossPerThousand_ = aPerThousand; }
  void SetLate(int aPerThousand) { latePerThousand_ = aPerThousand; }

private:
  Core::Random& random_;
  std::set<std::string> deaf_;
  std::set<std::string> mute_;
  int lossPerThousand_ = 0;
  int latePerThousand_ = 0;
};

} // namespace Simulation
