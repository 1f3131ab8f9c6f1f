#pragma once

#include <LibCore/Scheduler.h>

#include <map>
#include <string>

namespace Pooler {

/**
 * How much each customer has used the connections of a pool lately: the time
 * for which it held them, with an exponential decay. The customer that has used
 * least is served first, so that one with many statements can't take the room
 * of the others. A customer that was quiet gains no more than one half-life of
 * precedence.
 */
class FairShare
{
public:
  void BeginUse(const std::string& aCustomer, Core::Instant aNow);
  /** aSince is when the use began. */
  void EndUse(const std::string& aCustomer,
              Core::Instant aSince,
              Core::Instant aNow);

  /** The time used lately, in microseconds, current uses included. */
  double UsedLately(const std::string& aCustomer, Core::Instant aNow) const;

  /** The number of connections that the customer holds. */
  int CurrentUses(const std::string& aCustomer) const;

  /** Removes customers that use nothing and whose use has decayed. */
  void Forget(Core::Instant aNow);
  std::size_t Customers() const { return uses_.size(); }

private:
  struct Use
  {
    /** The decayed sum of ended uses, in microseconds, as of decayedAt. */
    double ended = 0;
    Core::Instant decayedAt{};
    int current = 0;
    /** The sum of the times at which current uses began. */
    Core::Duration currentSince{ 0 };
  };
  static double Decayed(const Use& aUse, Core::Instant aNow);

  std::map<std::string, Use> uses_;
};

} // namespace Pooler
