#define BOOST_TEST_MODULE StopPlan
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibPooler/StopPlan.h>

#include <ostream>

using namespace std::chrono_literals;
using Pooler::StopPhase;

namespace {

/** A time since a stop began. */
struct PhaseCase
{
  const char* name;
  Core::Duration elapsed;
  Core::Duration grace;
  StopPhase phase;
};

std::ostream&
operator<<(std::ostream& aStream, const PhaseCase& aCase)
{
  return aStream << aCase.name;
}

const PhaseCase kPhases[] = {
  { "at once", 0ms, 6s, StopPhase::AwaitingBalancer },
  { "the balancer's checks are over", 2200ms, 6s, StopPhase::ServingSessions },
  { "just before half", 2999ms, 6s, StopPhase::ServingSessions },
  { "at half", 3s, 6s, StopPhase::FinishingStatements },
  { "before the exit", 5299ms, 6s, StopPhase::FinishingStatements },
  { "at the exit", 5300ms, 6s, StopPhase::Exiting },
  { "past the grace", 7s, 6s, StopPhase::Exiting },
  { "a long grace, just before half", 29s, 60s, StopPhase::ServingSessions },
  { "a grace below the balancer's checks",
    2100ms,
    1s,
    StopPhase::AwaitingBalancer },
  { "the same, after them", 2200ms, 1s, StopPhase::Exiting },
};

} // namespace

/**
 * Guards against transactions at rest that are ended before the half of the
 * grace that they have at a stop.
 */
BOOST_DATA_TEST_CASE(AStopKeepsTransactionsForHalfOfItsGrace,
                     boost::unit_test::data::make(kPhases))
{
  BOOST_CHECK(Pooler::StopPhaseAt(sample.elapsed, sample.grace) ==
              sample.phase);
}
