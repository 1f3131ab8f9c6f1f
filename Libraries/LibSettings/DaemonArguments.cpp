#include <LibSettings/DaemonArguments.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace Settings {

namespace {

constexpr int kBadSettingsExitCode = 2;

} // namespace

std::optional<ProcessSettings>
ReadDaemonArguments(const std::string& aDescription,
                    int aCount,
                    char** aValues,
                    int& aExitCode,
                    const SettingsTable& aTable)
{
  CLI::App app{ aDescription };
  std::string file;
  bool checkOnly = false;
  app.add_option("--settings", file, "The INI file to read")->required();
  app.add_flag("--check", checkOnly, "Check the settings file and exit");
  app.set_version_flag("--version", MASTICHOLD_VERSION);
  try {
    app.parse(aCount, aValues);
  } catch (const CLI::ParseError& error) {
    aExitCode = app.exit(error);
    return std::nullopt;
  }
  Core::Findings findings;
  auto settings = ProcessSettings::Load(file, findings, aTable);
  if (!settings) {
    std::cerr << findings.ToText() << '\n';
    aExitCode = kBadSettingsExitCode;
    return std::nullopt;
  }
  if (checkOnly) {
    std::cout << file << ": no findings\n";
    aExitCode = 0;
    return std::nullopt;
  }
  return settings;
}

} // namespace Settings
