#include "Scenario.h"

#include <LibCore/File.h>

#include <functional>
#include <map>
#include <sstream>

namespace Simulation {

namespace {

using Words = std::vector<std::string>;
/** Parses the arguments of a command; returns false if they are invalid. */
using Command = std::function<bool(Scenario&, const Words&)>;

bool
ToNumber(const std::string& aText, std::int64_t& aNumber)
{
  std::istringstream stream(aText);
  return (stream >> aNumber) && stream.eof();
}

Command
Number(int Scenario::*aMember)
{
  return [aMember](Scenario& aScenario, const Words& aWords) {
    std::int64_t number = 0;
    if (aWords.size() != 1 || !ToNumber(aWords[0], number))
      return false;
    aScenario.*aMember = static_cast<int>(number);
    return true;
  };
}

bool
ParseEvent(Scenario& aScenario, const Words& aWords)
{
  static const Words kActions{ "kill", "restart", "lose-file", "freeze",
                               "thaw", "isolate", "deafen",    "mute",
                               "heal", "lag",     "silence",   "mix-up" };
  std::int64_t at = 0;
  ScenarioEvent event;
  const bool fits =
    (aWords.size() == 3 || aWords.size() == 4) && ToNumber(aWords[0], at) &&
    std::find(kActions.begin(), kActions.end(), aWords[1]) != kActions.end() &&
    (aWords.size() == 3 || ToNumber(aWords[3], event.amount));
  if (!fits)
    return false;
  event.at = std::chrono::milliseconds(at);
  event.action = aWords[1];
  event.target = aWords[2];
  aScenario.events.push_back(event);
  return true;
}

bool
ParseSetting(Scenario& aScenario, const Words& aWords)
{
  if (aWords.size() != 2)
    return false;
  const std::size_t dot = aWords[0].find('.');
  if (dot == std::string::npos)
    return false;
  aScenario.settings += '[' + aWords[0].substr(0, dot) + "]\n" +
                        aWords[0].substr(dot + 1) + " = " + aWords[1] + '\n';
  return true;
}

bool
ParseBreak(Scenario& aScenario, const Words& aWords)
{
  if (aWords.size() != 1)
    return false;
  if (aWords[0] == "ignore-tokens")
    aScenario.callerBreaks.ignoresTokens = true;
  else if (aWords[0] == "always-first")
    aScenario.callerBreaks.alwaysFirst = true;
  else if (aWords[0] == "claim-repeatable")
    aScenario.callerBreaks.claimsRepeatable = true;
  else if (aWords[0] == "ignore-echo")
    aScenario.ignoresEcho = true;
  else
    return false;
  return true;
}

bool
ParseExpected(Scenario& aScenario, const Words& aWords)
{
  if (aWords.size() != 1)
    return false;
  aScenario.expected = History::kViolationNames.ValueOf(aWords[0]);
  return aScenario.expected.has_value();
}

bool
ParseRun(Scenario& aScenario, const Words& aWords)
{
  std::int64_t time = 0;
  if (aWords.size() != 1 || !ToNumber(aWords[0], time))
    return false;
  aScenario.run = std::chrono::milliseconds(time);
  return true;
}

const std::map<std::string, Command>&
Commands()
{
  static const std::map<std::string, Command> kCommands{
    { "seeds", Number(&Scenario::seeds) },
    { "databases", Number(&Scenario::databases) },
    { "homes", Number(&Scenario::homes) },
    { "watchers", Number(&Scenario::watchers) },
    { "callers", Number(&Scenario::callers) },
    { "loss", Number(&Scenario::loss) },
    { "late", Number(&Scenario::late) },
    { "least-ok", Number(&Scenario::minAcknowledged) },
    { "run", ParseRun },
    { "set", ParseSetting },
    { "at", ParseEvent },
    { "break", ParseBreak },
    { "expect", ParseExpected },
  };
  return kCommands;
}

Words
SplitWords(const std::string& aLine)
{
  std::istringstream stream(aLine.substr(0, aLine.find('#')));
  Words words;
  std::string word;
  while (stream >> word)
    words.push_back(word);
  return words;
}

} // namespace

void
Scenario::Read(const std::string& aText,
               const std::string& aName,
               Core::Findings& aFindings)
{
  std::istringstream lines(aText);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    Words words = SplitWords(line);
    if (words.empty())
      continue;
    const std::string place = aName + ':' + std::to_string(number);
    const auto command = Commands().find(words.front());
    if (command == Commands().end()) {
      aFindings.Add(place, '"' + words.front() + "\" is not a known command");
      continue;
    }
    words.erase(words.begin());
    if (!command->second(*this, words))
      aFindings.Add(place, "invalid arguments for this command: " + line);
  }
}

std::optional<Scenario>
Scenario::Load(const std::string& aPath, Core::Findings& aFindings)
{
  const auto text = Core::ReadFile(aPath);
  if (!text) {
    aFindings.Add(aPath, "can't be read");
    return std::nullopt;
  }
  Scenario scenario;
  scenario.name = aPath.substr(aPath.rfind('/') + 1);
  scenario.Read(*text, scenario.name, aFindings);
  if (!aFindings.IsEmpty())
    return std::nullopt;
  return scenario;
}

} // namespace Simulation
