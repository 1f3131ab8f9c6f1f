#include <LibPooler/StopPlan.h>

namespace Pooler {

namespace {

/**
 * The load balancer detects a stop after two readiness checks, one second
 * apart.
 */
constexpr Core::Duration kBalancerDrainDelay = std::chrono::milliseconds(2200);

/**
 * Time reserved for exiting. The process must have exited before it is killed
 * at the end of the grace period.
 */
constexpr Core::Duration kExitMargin = std::chrono::milliseconds(700);

} // namespace

StopPhase
StopPhaseAt(Core::Duration aElapsed, Core::Duration aGrace)
{
  if (aElapsed < kBalancerDrainDelay)
    return StopPhase::AwaitingBalancer;
  if (aElapsed >= aGrace - kExitMargin)
    return StopPhase::Exiting;
  // Open transactions may finish during the first half of the grace period.
  // Work that began in that half may finish during the second half.
  return aElapsed >= aGrace / 2 ? StopPhase::FinishingStatements
                                : StopPhase::ServingSessions;
}

} // namespace Pooler
