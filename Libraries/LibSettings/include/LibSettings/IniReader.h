#pragma once

#include <LibCore/Findings.h>

#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/** One "key = value" line of an INI text. */
struct IniEntry
{
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
};

/**
 * Parses an INI text and returns its entries in order. Malformed lines, lines
 * that are too long and keys that occur twice in a section are added to
 * aFindings, with the place "aName:line".
 */
std::vector<IniEntry>
ReadIni(std::string_view aText,
        const std::string& aName,
        Core::Findings& aFindings);

} // namespace Settings
