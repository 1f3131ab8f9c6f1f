#pragma once

#include <LibSettings/ProcessSettings.h>

#include <optional>
#include <string>

namespace Settings {

/**
 * Parses a daemon's command line (--settings, --check, --version, --help) and
 * loads its settings file. If the daemon should not run, returns std::nullopt
 * and sets aExitCode.
 */
std::optional<ProcessSettings>
ReadDaemonArguments(const std::string& aDescription,
                    int aCount,
                    char** aValues,
                    int& aExitCode,
                    const SettingsTable& aTable = ProcessSettingsTable());

} // namespace Settings
