#pragma once

#include <LibCore/Findings.h>

#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/** One "key = value" of an INI text. */
struct IniEntry
{
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
};

/**
 * Reads an INI text into its entries, in order. Lines that are not INI, and
 * keys that stand twice in one section, become findings; their place is
 * "aName:line".
 */
std::vector<IniEntry>
ReadIni(std::string_view aText,
        const std::string& aName,
        Core::Findings& aFindings);

} // namespace Settings
