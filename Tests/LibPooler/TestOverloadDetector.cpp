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
IgnoreLog()
{
  return [](std::string_view, const boost::json::object&) {};
}

/** Observations one tick apart: '#' is overloaded, '.' is not. */
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
Repeat(int aCount, const std::string& aText)
{
  std::string result;
  for (int i = 0; i < aCount; ++i)
    result += aText;
  return result;
}

const std::vector<PatternCase> kPatterns{
  { "never", Repeat(60, "."), false },
  { "a burst of one second", Repeat(20, "#"), false },
  { "two seconds of overload", Repeat(40, "#"), true },
  { "overload with short gaps", Repeat(10, "#...."), true },
  { "two bursts a second apart",
    Repeat(20, "#") + Repeat(20, ".") + Repeat(20, "#"),
    false },
  { "overload that ended a second ago",
    Repeat(40, "#") + Repeat(20, "."),
    false },
  { "overload that ended a moment ago",
    Repeat(40, "#") + Repeat(5, "."),
    true },
};

/**
 * Reads with bounded staleness, on a group whose primary serves 66 reads per
 * second (two connections, 30 ms per read).
 */
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
  { "replicas behind, fewer reads than the primary serves", true, 50ms, false },
  { "replicas up to date, more reads than the primary serves",
    false,
    10ms,
    false },
};

} // namespace

BOOST_DATA_TEST_CASE(DetectsSustainedOverload, data::make(kPatterns), aCase)
{
  Simulation::VirtualTime time;
  const Pooler::GroupRouters none;
  Pooler::OverloadDetector detector(time, none, IgnoreLog());
  for (const char observation : aCase.observations) {
    detector.Observe("g", observation == '#');
    time.RunUntil(time.Now() + kTick);
  }
  BOOST_TEST(detector.Overloaded().contains("g") == aCase.isOverloaded);
}

/**
 * All replicas of a group apply its log too late to serve any read, so the
 * primary alone receives the reads that three databases share otherwise.
 */
BOOST_DATA_TEST_CASE_F(SessionFixture,
                       ReadsSentToThePrimaryWhileReplicasLag,
                       data::make(kLoads),
                       aCase)
{
  const Pooler::GroupRouters none;
  Pooler::OverloadDetector detector(time, none, IgnoreLog());
  router.SetGoals({ 1500ms, 200ms });
  databases.At("p").work = 30ms;
  for (const std::string id : { "a", "b" })
    databases.At(id).position = aCase.areReplicasBehind ? 50 : 100;
  const auto observation = time.Every(
    kTick, [&] { detector.Observe("g", router.IsPrimaryOverloaded()); });
  const auto renewal = time.Every(300ms, [this] { Renew(); });
  const Core::Instant end = time.Now() + 4s;
  while (time.Now() < end) {
    Send(Open("bounded"), Sql::StatementKind::Read, "FETCH 1");
    AdvanceBy(aCase.readInterval);
  }
  BOOST_TEST(detector.Overloaded().contains("g") == aCase.isOverloaded);
}
