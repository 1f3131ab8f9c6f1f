#define BOOST_TEST_MODULE Scenarios
#include "ScenarioRun.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Simulation;

namespace {

const std::string kDirectory =
  std::string(MASTICHOLD_SOURCE_DIRECTORY) + "/Tests/Scenarios";
/** Number of seeds for each single fault, and for each pair of faults. */
constexpr int kFaultSeeds = 8;
constexpr int kPairSeeds = 3;

std::vector<std::string>
FilesIn(const std::string& aFolder)
{
  std::vector<std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(kDirectory + aFolder)) {
    if (entry.path().extension() == ".scenario")
      files.push_back(entry.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

Scenario
LoadOrFail(const std::string& aPath)
{
  Core::Findings findings;
  auto scenario = Scenario::Load(aPath, findings);
  BOOST_REQUIRE_MESSAGE(scenario, findings.ToText());
  return *scenario;
}

/** The first and last seed: MASTICHOLD_SEED if set, else 1 to aSeeds. */
std::pair<std::uint64_t, std::uint64_t>
SeedsOf(int aSeeds)
{
  if (const char* one = std::getenv("MASTICHOLD_SEED")) {
    const std::uint64_t seed = std::strtoull(one, nullptr, 10);
    return { seed, seed };
  }
  return { 1, static_cast<std::uint64_t>(aSeeds) };
}

void
CheckAllSeeds(const Scenario& aScenario, int aSeeds)
{
  const auto [first, last] = SeedsOf(aSeeds);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    ScenarioRun run(aScenario, seed);
    const ScenarioResult result = run.Run();
    BOOST_TEST(result.violations.empty(),
               aScenario.name << " with MASTICHOLD_SEED=" << seed << ": "
                              << result.ToText());
    BOOST_TEST(result.acknowledged >=
                 static_cast<std::size_t>(aScenario.minAcknowledged),
               aScenario.name << " with MASTICHOLD_SEED=" << seed << ": "
                              << result.ToText());
  }
}

} // namespace

BOOST_DATA_TEST_CASE(WhatMustHoldHolds,
                     boost::unit_test::data::make(FilesIn("")),
                     path)
{
  const Scenario scenario = LoadOrFail(path);
  CheckAllSeeds(scenario, scenario.seeds);
}

BOOST_DATA_TEST_CASE(EachFaultAlone,
                     boost::unit_test::data::make(FilesIn("/Faults")),
                     path)
{
  CheckAllSeeds(LoadOrFail(path), kFaultSeeds);
}

BOOST_DATA_TEST_CASE(EveryPairOfFaults,
                     boost::unit_test::data::make(FilesIn("/Faults")),
                     path)
{
  for (const std::string& other : FilesIn("/Faults")) {
    if (other <= path)
      continue;
    Scenario pair = LoadOrFail(path);
    const Scenario second = LoadOrFail(other);
    pair.name += " with " + second.name;
    pair.loss = std::max(pair.loss, second.loss);
    pair.late = std::max(pair.late, second.late);
    pair.events.insert(
      pair.events.end(), second.events.begin(), second.events.end());
    CheckAllSeeds(pair, kPairSeeds);
  }
}

BOOST_DATA_TEST_CASE(ABrokenPolicyIsNoticed,
                     boost::unit_test::data::make(FilesIn("/Broken")),
                     path)
{
  const Scenario scenario = LoadOrFail(path);
  BOOST_REQUIRE(scenario.expected);
  int detected = 0;
  for (int seed = 1; seed <= scenario.seeds; ++seed) {
    ScenarioRun run(scenario, static_cast<std::uint64_t>(seed));
    if (run.Run().Has(*scenario.expected))
      ++detected;
    // With MASTICHOLD_SEED set, as in the slow run with sanitizers, one
    // detection is enough.
    if (detected > 0 && std::getenv("MASTICHOLD_SEED") != nullptr)
      break;
  }
  BOOST_TEST(detected > 0);
  BOOST_TEST_MESSAGE(scenario.name << ": noticed with " << detected << " of "
                                   << scenario.seeds << " seeds");
}

BOOST_AUTO_TEST_CASE(ABadScenarioIsRefusedWithItsLines)
{
  Core::Findings findings;
  Scenario scenario;
  scenario.Read("run 5\nexplode a\nat x kill a\nat 5 melt a\n", "s", findings);
  BOOST_REQUIRE(findings.List().size() == 3U);
  BOOST_TEST(findings.List()[0].place == "s:2");
  BOOST_TEST(findings.List()[1].place == "s:3");
  BOOST_TEST(findings.List()[2].place == "s:4");
}

BOOST_AUTO_TEST_CASE(TheSameSeedIsTheSameRun)
{
  const Scenario scenario = LoadOrFail(kDirectory + "/chaos.scenario");
  const std::string first = ScenarioRun(scenario, 7).Run().ToText();
  const std::string second = ScenarioRun(scenario, 7).Run().ToText();
  BOOST_TEST(first == second);
}
