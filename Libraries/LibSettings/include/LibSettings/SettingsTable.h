#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Findings.h>

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

enum class SettingType
{
  Text,
  Integer,
  /** A decimal number, such as 0.25. */
  Decimal,
  Boolean,
  Address,
  AddressList,
  /** One of the words listed in SettingSpec::unit. */
  Choice,
};

inline constexpr Core::EnumNames<SettingType, 7> kSettingTypeNames{ {
  { { SettingType::Text, "text" },
    { SettingType::Integer, "integer" },
    { SettingType::Decimal, "decimal" },
    { SettingType::Boolean, "boolean" },
    { SettingType::Address, "ip:port" },
    { SettingType::AddressList, "ip:port, ip:port, ..." },
    { SettingType::Choice, "one of" } },
} };

/** Describes one setting, for its validation, help text and documentation. */
struct SettingSpec
{
  /** "section.key" */
  std::string_view name;
  SettingType type = SettingType::Text;
  /** The unit of a number, or the comma-separated words of a choice. */
  std::string_view unit;
  /** The range of a number, inclusive. */
  std::int64_t least = 0;
  std::int64_t most = 0;
  /** The default value. If empty, the setting is required; see mayBeEmpty. */
  std::string_view standard;
  std::string_view doc;
  /** Whether the empty text is a valid value; it means the default. */
  bool mayBeEmpty = false;
};

using SettingsTable = std::vector<SettingSpec>;

/** Returns the spec of the setting aName, or null. */
const SettingSpec*
FindSpec(const SettingsTable& aTable, std::string_view aName);

/** Returns the name in aTable with the smallest edit distance to aName. */
std::string_view
NearestName(const SettingsTable& aTable, std::string_view aName);

/** Returns an error message, or std::nullopt if aValue is valid. */
std::optional<std::string>
CheckValue(const SettingSpec& aSpec, std::string_view aValue);

/** Returns aTable as a Markdown table. */
std::string
ToMarkdown(const SettingsTable& aTable);

/** These convert a value that CheckValue has accepted. */
std::int64_t
ToInteger(std::string_view aValue);
double
ToDecimal(std::string_view aValue);
bool
ToBoolean(std::string_view aValue);

} // namespace Settings
