#pragma once

#include "FakeLink.h"
#include "Scenario.h"

#include <LibAgent/GroupWatcher.h>
#include <LibProxy/GroupHome.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Simulation {

/** The name of the only group in a scenario. */
inline constexpr const char* kGroup = "group";

/** The result of running a scenario with one seed. */
struct ScenarioResult
{
  std::vector<History::Violation> violations;
  std::size_t writes = 0;
  std::size_t acknowledged = 0;
  bool Has(History::ViolationKind aKind) const;
  std::string ToText() const;
};

/**
 * Runs a scenario under virtual time. The homes and watchers are the real
 * ones; the databases and the network are fakes. Callers record every
 * response for the history checker.
 */
class ScenarioRun
{
public:
  ScenarioRun(const Scenario& aScenario, std::uint64_t aSeed);
  ~ScenarioRun();
  ScenarioRun(const ScenarioRun&) = delete;
  ScenarioRun& operator=(const ScenarioRun&) = delete;

  ScenarioResult Run();

private:
  class Home;
  class Watcher;
  class Callers;

  void ApplyEvent(const ScenarioEvent& aEvent);
  void ApplyToDatabase(const ScenarioEvent& aEvent, FakeDatabase& aDatabase);
  std::string Resolve(const std::string& aTarget);
  ActorTime* TimeOf(const std::string& aName);
  void HealAll();
  FakeDatabase* Primary();

  const Scenario& scenario_;
  Core::Random random_;
  VirtualTime time_;
  Network network_;
  DatabaseDirectory directory_;
  std::vector<std::unique_ptr<FakeDatabase>> databases_;
  std::vector<Membership::Database> infos_;
  std::shared_ptr<const Settings::FleetSettings> fleet_;
  std::vector<std::unique_ptr<Home>> homes_;
  std::vector<std::unique_ptr<Watcher>> watchers_;
  std::unique_ptr<Callers> callers_;
  History::HistoryChecker history_;
  std::string lastTarget_;
};

} // namespace Simulation
