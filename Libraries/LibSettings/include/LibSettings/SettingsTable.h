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
  /** Such as 0.25. */
  Decimal,
  Boolean,
  Address,
  AddressList,
  /** One of the words that SettingSpec::unit lists. */
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

/** All that is known of one setting; checks, help and docs come from it. */
struct SettingSpec
{
  /** "section.key" */
  std::string_view name;
  SettingType type = SettingType::Text;
  /** The unit of a number, or the words of a choice. */
  std::string_view unit;
  std::int64_t least = 0;
  std::int64_t most = 0;
  /** Empty means that the setting must be given. */
  std::string_view standard;
  std::string_view doc;
  /** True where even an empty value is a value. */
  bool mayBeEmpty = false;
};

using SettingsTable = std::vector<SettingSpec>;

/** The row named aName, or null. */
const SettingSpec*
FindSpec(const SettingsTable& aTable, std::string_view aName);

/** The name in aTable that is spelt most like aName. */
std::string_view
NearestName(const SettingsTable& aTable, std::string_view aName);

/** What is wrong with aValue for aSpec; std::nullopt when it fits. */
std::optional<std::string>
CheckValue(const SettingSpec& aSpec, std::string_view aValue);

/** The table as the rows of a Markdown table. */
std::string
ToMarkdown(const SettingsTable& aTable);

/** Reads a value that CheckValue has passed. */
std::int64_t
ToInteger(std::string_view aValue);
double
ToDecimal(std::string_view aValue);
bool
ToBoolean(std::string_view aValue);

} // namespace Settings
