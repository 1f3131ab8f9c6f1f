#define BOOST_TEST_MODULE OverloadDetector
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "SessionFixture.h"

#include <LibPooler/OverloadDetector.h>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using Fakes::SessionFixture;

namespace {

constexpr Core::Duration kTick = 50ms;

Pooler::LogSink
Sink()
{
  return [](std::string_view, const boost::json::object&) {};
}

/** Observations a tick apart: '#' overloaded, '.' not. */
struct PatternCase
{
  const char* name;
  std::string observations;
  bool isOverloaded;
};

std::ostream&
operator<<(std::ostream& aStream, const PatternCase& aCase)
{
  return aStream << aCase.name;
}

std::string
Times(int aCount, const std::string& aText)
{
  std::string result;
  for (int i = 0; i < aCount; ++i)
    result += aText;
  return result;
}

const std::vector<PatternCase> kPatterns{
  { "never", Times(60, "."), false },
  { "a burst of a second", Times(20, "#"), false },
  { "two seconds", Times(40, "#"), true },
  { "now and then something waits", Times(10, "#...."), true },
  { "two bursts a second apart",
    Times(20, "#") + Times(20, ".") + Times(20, "#"),
    false },
  { "over for a second", Times(40, "#") + Times(20, "."), false },
  { "over for a moment", Times(40, "#") + Times(5, "."), true },
};

/** Reads that may be old, at a group whose primary serves 66 a second. */
struct LoadCase
{
  const char* name;
  bool areReplicasBehind;
  Core::Duration readInterval;
  bool isOverloaded;
};

std::ostream&
operator<<(std::ostream& aStream, const LoadCase& aCase)
{
  return aStream << aCase.name;
}

const std::vector<LoadCase> kLoads{
  { "replicas behind, more reads than the primary serves", true, 10ms, true },
  { "replicas behind, fewer reads than that", true, 50ms, false },
  { "replicas young, more reads than the primary serves", false, 10ms, false },
};

} // namespace

BOOST_DATA_TEST_CASE(NoticesWhatLasts, data::make(kPatterns), aCase)
{
  Simulation::VirtualTime time;
  const Pooler::GroupRouters none;
  Pooler::OverloadDetector watch(time, none, Sink());
  for (const char observation : aCase.observations) {
    watch.Note("g", observation == '#');
    time.RunUntil(time.Now() + kTick);
  }
  BOOST_TEST(watch.Overloaded().contains("g") == aCase.isOverloaded);
}

/**
 * All replicas of a group apply its log so late that no read may run there:
 * the primary alone gets what three databases share otherwise.
 */
BOOST_DATA_TEST_CASE_F(SessionFixture,
                       ReadsThatReplicasLeaveToThePrimary,
                       data::make(kLoads),
                       aCase)
{
  const Pooler::GroupRouters none;
  Pooler::OverloadDetector watch(time, none, Sink());
  router.SetGoals({ 1500ms, 200ms });
  databases.At("p").work = 30ms;
  for (const std::string id : { "a", "b" })
    databases.At(id).position = aCase.areReplicasBehind ? 50 : 100;
  const auto watching =
    time.Every(kTick, [&] { watch.Note("g", router.IsPrimaryOverloaded()); });
  const auto renewal = time.Every(300ms, [this] { Renew(); });
  const Core::Instant end = time.Now() + 4s;
  while (time.Now() < end) {
    Send(Open("bounded"), Sql::StatementKind::Read, "FETCH 1");
    Pass(aCase.readInterval);
  }
  BOOST_TEST(watch.Overloaded().contains("g") == aCase.isOverloaded);
}
