#include "ScenarioRun.h"

#include "ScenarioCallers.h"
#include "ScenarioHome.h"
#include "ScenarioWatcher.h"

#include <algorithm>
#include <utility>

namespace Simulation {

namespace {

constexpr Core::Duration kStartTime = std::chrono::seconds(2);
/** After all faults are healed, every write must be resolved in this time. */
constexpr Core::Duration kSettleTime = std::chrono::seconds(25);

/**
 * Targets that are resolved when the event happens; "last" is the database
 * that the previous one of them resolved to.
 */
constexpr const char* kPrimaryTarget = "primary";
constexpr const char* kReplicaTarget = "replica";
constexpr const char* kLastTarget = "last";

} // namespace

bool
ScenarioResult::Has(History::ViolationKind aKind) const
{
  return std::any_of(
    violations.begin(), violations.end(), [aKind](const auto& aViolation) {
      return aViolation.kind == aKind;
    });
}

std::string
ScenarioResult::ToText() const
{
  std::string text = std::to_string(writes) + " writes, " +
                     std::to_string(acknowledged) + " acknowledged";
  for (const History::Violation& violation : violations)
    text += "\n  " +
            std::string(History::kViolationNames.NameOf(violation.kind)) +
            ": " + violation.text;
  return text;
}

ScenarioRun::ScenarioRun(const Scenario& aScenario, std::uint64_t aSeed)
  : scenario_(aScenario)
  , random_(aSeed)
  , network_(random_)
{
  FakeLinkFactory::echoCheck =
    aScenario.ignoresEcho ? EchoCheck::Ignored : EchoCheck::Checked;
  Core::Findings findings;
  auto fleet = Settings::FleetSettings::Parse(
    aScenario.settings, aScenario.name, findings);
  fleet_ = std::make_shared<const Settings::FleetSettings>(
    fleet.value_or(Settings::FleetSettings{}));
  for (int i = 0; i < aScenario.databases; ++i) {
    Membership::Database info;
    info.name = std::string(1, static_cast<char>('a' + i));
    info.group = kGroup;
    info.slots = 5;
    info.connections = 35;
    infos_.push_back(info);
    databases_.push_back(
      std::make_unique<FakeDatabase>(info.name, time_, network_, directory_));
  }
  for (int i = 0; i < aScenario.watchers; ++i)
    watchers_.push_back(
      std::make_unique<Watcher>(*this, "watcher" + std::to_string(i), i));
  for (int i = 0; i < aScenario.homes; ++i)
    homes_.push_back(std::make_unique<Home>(*this, "home" + std::to_string(i)));
  callers_ = std::make_unique<Callers>(*this);
}

ScenarioRun::~ScenarioRun()
{
  for (const auto& home : homes_)
    home->Kill();
  for (const auto& watcher : watchers_)
    watcher->Kill();
  time_.Close();
}

ScenarioResult
ScenarioRun::Run()
{
  const Core::Instant start = time_.Now() + kStartTime;
  time_.RunUntil(start);
  network_.SetLoss(scenario_.loss);
  network_.SetLate(scenario_.late);
  const Core::Instant end = start + scenario_.run;
  callers_->Start(end);
  for (const ScenarioEvent& event : scenario_.events)
    time_.DeferFor(event.at, [this, event] { ApplyEvent(event); });
  time_.RunUntil(end);
  HealAll();
  time_.RunUntil(end + kSettleTime);
  callers_->RecordUnresolvedWrites();
  const FakeDatabase* primary = Primary();
  history_.Judge(primary != nullptr ? primary->Tags()
                                    : std::map<std::string, std::int64_t>{});
  return { history_.Violations(),
           history_.Writes(),
           history_.AcknowledgedWrites() };
}

FakeDatabase*
ScenarioRun::Primary()
{
  FakeDatabase* primary = nullptr;
  for (const auto& database : databases_) {
    const bool isPrimary = database->IsUp() && database->State().IsPrimary();
    if (isPrimary && (primary == nullptr || database->State().Meta().promised >
                                              primary->State().Meta().promised))
      primary = database.get();
  }
  return primary;
}

std::string
ScenarioRun::Resolve(const std::string& aTarget)
{
  const FakeDatabase* primary = Primary();
  if (aTarget == kLastTarget)
    return lastTarget_;
  if (aTarget == kPrimaryTarget && primary != nullptr)
    return lastTarget_ = primary->Name();
  if (aTarget == kReplicaTarget) {
    for (const auto& database : databases_) {
      if (database.get() != primary)
        return lastTarget_ = database->Name();
    }
  }
  return aTarget;
}

ActorTime*
ScenarioRun::TimeOf(const std::string& aName)
{
  if (const auto found = directory_.find(aName); found != directory_.end())
    return &found->second->Time();
  for (const auto& home : homes_) {
    if (home->Name() == aName)
      return &home->Time();
  }
  for (const auto& watcher : watchers_) {
    if (watcher->Name() == aName)
      return &watcher->Time();
  }
  return nullptr;
}

void
ScenarioRun::ApplyEvent(const ScenarioEvent& aEvent)
{
  const std::string name = Resolve(aEvent.target);
  if (aEvent.action == "isolate" || aEvent.action == "deafen" ||
      aEvent.action == "mute") {
    network_.Cut(name, aEvent.action != "mute", aEvent.action != "deafen");
    return;
  }
  if (aEvent.action == "heal") {
    network_.Heal(name);
    return;
  }
  if (ActorTime* time = TimeOf(name); time && aEvent.action == "freeze") {
    time->Freeze();
    return;
  }
  if (ActorTime* time = TimeOf(name); time && aEvent.action == "thaw") {
    time->Thaw();
    return;
  }
  if (const auto found = directory_.find(name); found != directory_.end()) {
    ApplyToDatabase(aEvent, *found->second);
    return;
  }
  const auto killOrStart = [&aEvent, &name](auto& aActors) {
    for (const auto& actor : aActors) {
      if (actor->Name() != name)
        continue;
      if (aEvent.action == "kill")
        actor->Kill();
      else if (aEvent.action == "restart" && !actor->IsUp())
        actor->Start();
    }
  };
  killOrStart(homes_);
  killOrStart(watchers_);
}

void
ScenarioRun::ApplyToDatabase(const ScenarioEvent& aEvent,
                             FakeDatabase& aDatabase)
{
  if (aEvent.action == "kill")
    aDatabase.Kill();
  else if (aEvent.action == "restart")
    aDatabase.Restart(false);
  else if (aEvent.action == "lose-file")
    aDatabase.Restart(true);
  else if (aEvent.action == "lag")
    aDatabase.SetLag(std::chrono::milliseconds(aEvent.amount));
  else if (aEvent.action == "silence")
    aDatabase.SilenceOpenConnections();
  else if (aEvent.action == "mix-up")
    aDatabase.MixUpResponses(static_cast<int>(aEvent.amount));
}

void
ScenarioRun::HealAll()
{
  network_.HealAll();
  for (const auto& database : databases_) {
    if (database->Time().IsFrozen())
      database->Time().Thaw();
    database->Restart(false);
    database->SetLag(Core::Duration::zero());
  }
  const auto heal = [](auto& aActors) {
    for (const auto& actor : aActors) {
      if (actor->Time().IsFrozen())
        actor->Time().Thaw();
      if (!actor->IsUp())
        actor->Start();
    }
  };
  heal(homes_);
  heal(watchers_);
}

} // namespace Simulation
