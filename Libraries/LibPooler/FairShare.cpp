#include <LibPooler/FairShare.h>

#include <algorithm>
#include <cmath>

namespace Pooler {

namespace {

/** After this time, a use counts half. */
constexpr Core::Duration kHalfLife = std::chrono::seconds(1);

/** A decayed use below this is forgotten. */
constexpr double kNegligibleMicroseconds = 100;

} // namespace

double
FairShare::Decayed(const Use& aUse, Core::Instant aNow)
{
  const auto age = static_cast<double>((aNow - aUse.decayedAt).count());
  const auto halfLife = static_cast<double>(kHalfLife.count());
  return aUse.ended * std::exp2(-std::max(age, 0.0) / halfLife);
}

void
FairShare::BeginUse(const std::string& aCustomer, Core::Instant aNow)
{
  Use& use = uses_[aCustomer];
  ++use.current;
  use.currentSince += aNow - Core::Instant{};
}

void
FairShare::EndUse(const std::string& aCustomer,
                  Core::Instant aSince,
                  Core::Instant aNow)
{
  Use& use = uses_[aCustomer];
  --use.current;
  use.currentSince -= aSince - Core::Instant{};
  use.ended = Decayed(use, aNow) + static_cast<double>((aNow - aSince).count());
  use.decayedAt = aNow;
}

double
FairShare::UsedLately(const std::string& aCustomer, Core::Instant aNow) const
{
  const auto entry = uses_.find(aCustomer);
  if (entry == uses_.end())
    return 0;
  const Use& use = entry->second;
  const Core::Duration current =
    use.current * (aNow - Core::Instant{}) - use.currentSince;
  return Decayed(use, aNow) + static_cast<double>(current.count());
}

int
FairShare::CurrentUses(const std::string& aCustomer) const
{
  const auto entry = uses_.find(aCustomer);
  return entry == uses_.end() ? 0 : entry->second.current;
}

void
FairShare::Forget(Core::Instant aNow)
{
  std::erase_if(uses_, [aNow](const auto& aEntry) {
    return aEntry.second.current == 0 &&
           Decayed(aEntry.second, aNow) < kNegligibleMicroseconds;
  });
}

} // namespace Pooler
