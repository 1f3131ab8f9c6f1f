#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Findings.h>
#include <LibHistory/HistoryChecker.h>

#include <optional>
#include <string>
#include <vector>

namespace Simulation {

/** A fault at a time: "at 2000 freeze primary". */
struct ScenarioEvent
{
  Core::Duration at{ 0 };
  std::string action;
  std::string target;
  std::int64_t amount = 0;
};

/** How callers are broken on purpose, to show that the checker notices. */
struct CallerBreaks
{
  /** Sessions throw their tokens away. */
  bool ignoresTokens = false;
  /** Every try is numbered 1, as if nothing had been sent before. */
  bool alwaysFirst = false;
  /** Writes that may not be repeated are called repeatable. */
  bool claimsRepeatable = false;
};

/** A scenario file, read; docs/scenarios.md describes the language. */
struct Scenario
{
  std::string name;
  int seeds = 5;
  int databases = 3;
  int homes = 2;
  int watchers = 3;
  int callers = 8;
  Core::Duration run = std::chrono::seconds(8);
  /** Of a thousand messages. */
  int loss = 0;
  int late = 0;
  /** The fleet's settings, as INI. */
  std::string settings;
  CallerBreaks callerBreaks;
  bool ignoresEcho = false;
  std::vector<ScenarioEvent> events;
  /** The violation that a broken policy must lead to. */
  std::optional<History::ViolationKind> expected;
  /** The least writes that must be acknowledged, so that a run means much. */
  int leastOk = 20;

  /** Adds what aText says; places of findings are "aName:line". */
  void Read(const std::string& aText,
            const std::string& aName,
            Core::Findings& aFindings);
  static std::optional<Scenario> Load(const std::string& aPath,
                                      Core::Findings& aFindings);
};

} // namespace Simulation
