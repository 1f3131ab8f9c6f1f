#pragma once

#include <LibSettings/SettingsTable.h>
#include <LibWire/Address.h>

namespace Settings {

/** The settings that the proxy and the agent load from an INI file at start. */
const SettingsTable&
ProcessSettingsTable();

/** The settings that mastichold-node loads from an INI file at start. */
const SettingsTable&
NodeSettingsTable();

/** The validated settings of one daemon. */
class ProcessSettings
{
public:
  /**
   * Parses aText and validates all of it against aTable. Returns std::nullopt
   * if there are findings. aName is the file's name.
   */
  static std::optional<ProcessSettings> Parse(
    std::string_view aText,
    const std::string& aName,
    Core::Findings& aFindings,
    const SettingsTable& aTable = ProcessSettingsTable());

  /** Reads the file at aPath and parses it. */
  static std::optional<ProcessSettings> Load(
    const std::string& aPath,
    Core::Findings& aFindings,
    const SettingsTable& aTable = ProcessSettingsTable());

  /** The getters take a "section.key" name that must be in the table. */
  std::string Text(std::string_view aName) const;
  std::int64_t Integer(std::string_view aName) const;
  double Decimal(std::string_view aName) const;
  bool Boolean(std::string_view aName) const;
  Wire::Address Address(std::string_view aName) const;
  std::vector<Wire::Address> Addresses(std::string_view aName) const;

private:
  std::map<std::string, std::string, std::less<>> values_;
};

} // namespace Settings
