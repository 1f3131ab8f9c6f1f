#pragma once

#include <LibCore/Clock.h>

namespace Pooler {

/** What a stopping node still does. Later phases have higher values. */
enum class StopPhase
{
  /** All, as the load balancer may still direct clients here. */
  AwaitingBalancer,
  /** All, for the sessions that are in use. */
  ServingSessions,
  /** Statements in progress. Transactions at rest are ended. */
  FinishingStatements,
  /** Nothing: the process must exit before it is killed. */
  Exiting,
};

/** Returns the phase at aElapsed after the stop began. */
StopPhase
StopPhaseAt(Core::Duration aElapsed, Core::Duration aGrace);

} // namespace Pooler
