#pragma once

#include "VirtualTime.h"

#include <LibCore/Random.h>

#include <set>
#include <string>

namespace Simulation {

/**
 * Simulates a network between actors: messages can be delayed, reordered or
 * lost.
 */
class Network
{
public:
  explicit Network(Core::Random& aRandom)
    : random_(aRandom)
  {
  }

  /** Runs aTask on aToTime when the message arrives; never if it is lost. */
  void Send(const std::string& aFrom,
            const std::string& aTo,
            ActorTime& aToTime,
            std::function<void()> aTask);

  /** Drops all messages to aName (aIncoming) or from it (aOutgoing). */
  void Cut(const std::string& aName, bool aIncoming, bool aOutgoing);
  void Heal(const std::string& aName);
  void HealAll();

  /**
   * Sets how many of a thousand messages are lost, and how many are delayed
   * by up to 3 s.
   */
  void SetLoss(int aPerThousand) { lossPerThousand_ = aPerThousand; }
  void SetLate(int aPerThousand) { latePerThousand_ = aPerThousand; }

private:
  Core::Random& random_;
  std::set<std::string> incomingCut_;
  std::set<std::string> outgoingCut_;
  int lossPerThousand_ = 0;
  int latePerThousand_ = 0;
};

} // namespace Simulation
