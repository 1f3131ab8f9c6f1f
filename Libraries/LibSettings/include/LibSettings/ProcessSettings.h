#pragma once

#include <LibSettings/SettingsTable.h>
#include <LibWire/Address.h>

namespace Settings {

/** The settings that the proxy and the agent read from an INI file at start. */
const SettingsTable&
ProcessSettingsTable();

/** The settings that mastichold-node reads from an INI file at start. */
const SettingsTable&
NodeSettingsTable();

/** A daemon's own settings, checked. */
class ProcessSettings
{
public:
  /**
   * Checks aText whole against aTable; gives settings only when there is no
   * finding.
   */
  static std::optional<ProcessSettings> Parse(
    std::string_view aText,
    const std::string& aName,
    Core::Findings& aFindings,
    const SettingsTable& aTable = ProcessSettingsTable());

  /** Reads and checks the file at aPath. */
  static std::optional<ProcessSettings> Load(
    const std::string& aPath,
    Core::Findings& aFindings,
    const SettingsTable& aTable = ProcessSettingsTable());

  /** These read a setting by its table name, which must exist. */
  std::string Text(std::string_view aName) const;
  std::int64_t Integer(std::string_view aName) const;
  double Decimal(std::string_view aName) const;
  Wire::Address Address(std::string_view aName) const;
  std::vector<Wire::Address> Addresses(std::string_view aName) const;

private:
  std::map<std::string, std::string, std::less<>> values_;
};

} // namespace Settings
