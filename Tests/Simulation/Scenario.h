#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Findings.h>
#include <LibHistory/HistoryChecker.h>

#include <optional>
#include <string>
#include <vector>

namespace Simulation {

/**
 * A fault at a given time after the callers start, such as
 * "at 2000 freeze primary" (2000 ms).
 */
struct ScenarioEvent
{
  Core::Duration at{ 0 };
  std::string action;
  std::string target;
  std::int64_t amount = 0;
};

/** Deliberate faults of callers, to test that the checker detects them. */
struct CallerBreaks
{
  /** Sessions send no session tokens. */
  bool ignoresTokens = false;
  /** Every attempt has the number 1, like a request never sent before. */
  bool alwaysFirst = false;
  /** Writes that are not safe to repeat are sent as repeatable. */
  bool claimsRepeatable = false;
};

/** A parsed scenario file; docs/scenarios.md describes the language. */
struct Scenario
{
  std::string name;
  int seeds = 5;
  int databases = 3;
  int homes = 2;
  int watchers = 3;
  int callers = 8;
  Core::Duration run = std::chrono::seconds(8);
  /** Lost and late messages, each out of a thousand. */
  int loss = 0;
  int late = 0;
  /** The fleet settings in INI format. */
  std::string settings;
  CallerBreaks callerBreaks;
  bool ignoresEcho = false;
  std::vector<ScenarioEvent> events;
  /** The violation that the deliberate fault must cause. */
  std::optional<History::ViolationKind> expected;
  /** Minimum of acknowledged writes, so that a run checks enough of them. */
  int minAcknowledged = 20;

  /** Parses aText into this scenario; finding places are "aName:line". */
  void Read(const std::string& aText,
            const std::string& aName,
            Core::Findings& aFindings);
  static std::optional<Scenario> Load(const std::string& aPath,
                                      Core::Findings& aFindings);
};

} // namespace Simulation
