#pragma once

#include <LibSettings/ProcessSettings.h>

#include <optional>
#include <string>

namespace Settings {

/**
 * Reads a daemon's command line (--settings, --check, --version, --help) and
 * its settings file. Without settings to run with, aExitCode says how to end.
 */
std::optional<ProcessSettings>
ReadDaemonArguments(const std::string& aDescription,
                    int aCount,
                    char** aValues,
                    int& aExitCode,
                    const SettingsTable& aTable = ProcessSettingsTable());

} // namespace Settings
