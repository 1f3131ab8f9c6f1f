#include <LibPooler/PoolStep.h>

#include <algorithm>

namespace Pooler {

namespace {

bool
NeedsDial(const PoolDemand& aDemand)
{
  return !aDemand.hasIdle && aDemand.dialling < aDemand.waiting;
}

/** How a connection for a customer can be opened now. */
PoolAction
WayToDial(const PoolDemand& aDemand, const PoolSupply& aSupply)
{
  if (aSupply.hasRoom)
    return PoolAction::Dial;
  const bool hasConnection = aDemand.inUse + aDemand.dialling > 0;
  const bool mayReplace =
    hasConnection ? aSupply.hasUnusedIdle : aSupply.hasUnwantedIdle;
  return mayReplace ? PoolAction::ReplaceUnwanted : PoolAction::Wait;
}

} // namespace

PoolStep
NextPoolStep(const std::vector<PoolDemand>& aDemands, const PoolSupply& aSupply)
{
  const bool mayReplaceWanted =
    aSupply.reusesOutOfOrder >= kMaxReusesOutOfOrder &&
    std::any_of(aDemands.begin(), aDemands.end(), [](const auto& aDemand) {
      return aDemand.hasIdle;
    });
  bool isOutOfOrder = false;
  for (std::size_t index = 0; index < aDemands.size(); ++index) {
    const PoolDemand& demand = aDemands[index];
    if (demand.hasIdle)
      return { isOutOfOrder ? PoolAction::ReuseOutOfOrder : PoolAction::Reuse,
               index };
    if (!NeedsDial(demand) || !aSupply.mayDial)
      continue;
    const PoolAction way = WayToDial(demand, aSupply);
    if (way != PoolAction::Wait)
      return { way, index };
    if (mayReplaceWanted)
      return { PoolAction::ReplaceWanted, index };
    isOutOfOrder = true;
  }
  return {};
}

} // namespace Pooler
