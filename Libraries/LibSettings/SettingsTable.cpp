#include <LibSettings/SettingsTable.h>

#include <LibWire/Address.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <sstream>

namespace Settings {

namespace {

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t replaced =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
    }
  }
  return row.back();
}

std::optional<std::string>
CheckInteger(const SettingSpec& aSpec, std::string_view aValue)
{
  std::int64_t number = 0;
  const char* end = aValue.data() + aValue.size();
  const auto [stop, error] = std::from_chars(aValue.data(), end, number);
  if (error == std::errc{} && stop == end && number >= aSpec.least &&
      number <= aSpec.most)
    return std::nullopt;
  return "must be a whole number from " + std::to_string(aSpec.least) + " to " +
         std::to_string(aSpec.most) + ", not \"" + std::string(aValue) + '"';
}

std::optional<std::string>
CheckDecimal(const SettingSpec& aSpec, std::string_view aValue)
{
  double number = 0;
  const char* end = aValue.data() + aValue.size();
  const auto [stop, error] = std::from_chars(aValue.data(), end, number);
  if (error == std::errc{} && stop == end &&
      number >= static_cast<double>(aSpec.least) &&
      number <= static_cast<double>(aSpec.most))
    return std::nullopt;
  return "must be a number from " + std::to_string(aSpec.least) + " to " +
         std::to_string(aSpec.most) + ", not \"" + std::string(aValue) + '"';
}

std::optional<std::string>
CheckChoice(const SettingSpec& aSpec, std::string_view aValue)
{
  std::istringstream words{ std::string(aSpec.unit) };
  std::string word;
  while (std::getline(words >> std::ws, word, ',')) {
    if (word == aValue)
      return std::nullopt;
  }
  return "must be one of " + std::string(aSpec.unit) + ", not \"" +
         std::string(aValue) + '"';
}

std::optional<std::string>
CheckAddress(std::string_view aValue)
{
  Core::LastReason reason;
  if (Wire::Address::Parse(aValue, reason))
    return std::nullopt;
  return reason.Text();
}

std::optional<std::string>
CheckAddressList(std::string_view aValue)
{
  std::size_t start = 0;
  while (start < aValue.size()) {
    const std::size_t comma = std::min(aValue.find(',', start), aValue.size());
    std::string_view item = aValue.substr(start, comma - start);
    while (item.starts_with(' '))
      item.remove_prefix(1);
    if (auto problem = CheckAddress(item))
      return problem;
    start = comma + 1;
  }
  return std::nullopt;
}

} // namespace

const SettingSpec*
FindSpec(const SettingsTable& aTable, std::string_view aName)
{
  const auto found = std::find_if(
    aTable.begin(), aTable.end(), [aName](const SettingSpec& aSpec) {
      return aSpec.name == aName;
    });
  return found == aTable.end() ? nullptr : &*found;
}

std::string_view
NearestName(const SettingsTable& aTable, std::string_view aName)
{
  const auto nearest = std::min_element(
    aTable.begin(),
    aTable.end(),
    [aName](const SettingSpec& aLeft, const SettingSpec& aRight) {
      return EditDistance(aLeft.name, aName) < EditDistance(aRight.name, aName);
    });
  return nearest == aTable.end() ? "" : nearest->name;
}

std::optional<std::string>
CheckValue(const SettingSpec& aSpec, std::string_view aValue)
{
  if (aValue.empty()) {
    if (aSpec.mayBeEmpty)
      return std::nullopt;
    return "must not be empty";
  }
  switch (aSpec.type) {
    case SettingType::Text:
      return std::nullopt;
    case SettingType::Integer:
      return CheckInteger(aSpec, aValue);
    case SettingType::Decimal:
      return CheckDecimal(aSpec, aValue);
    case SettingType::Boolean:
      if (aValue == "true" || aValue == "false")
        return std::nullopt;
      return "must be true or false, not \"" + std::string(aValue) + '"';
    case SettingType::Address:
      return CheckAddress(aValue);
    case SettingType::AddressList:
      return CheckAddressList(aValue);
    case SettingType::Choice:
      return CheckChoice(aSpec, aValue);
  }
  return std::nullopt;
}

std::string
ToMarkdown(const SettingsTable& aTable)
{
  std::string text =
    "| setting | type | unit | range | default | what it is |\n"
    "| --- | --- | --- | --- | --- | --- |\n";
  for (const SettingSpec& spec : aTable) {
    const bool isNumber =
      spec.type == SettingType::Integer || spec.type == SettingType::Decimal;
    const std::string range =
      isNumber ? std::to_string(spec.least) + " to " + std::to_string(spec.most)
               : "";
    const bool isRequired = spec.standard.empty() && !spec.mayBeEmpty;
    text += "| `" + std::string(spec.name) + "` | " +
            std::string(kSettingTypeNames.NameOf(spec.type)) + " | " +
            std::string(spec.unit) + " | " + range + " | " +
            (isRequired ? "(must be given)" : std::string(spec.standard)) +
            " | " + std::string(spec.doc) + " |\n";
  }
  return text;
}

std::int64_t
ToInteger(std::string_view aValue)
{
  std::int64_t number = 0;
  std::from_chars(aValue.data(), aValue.data() + aValue.size(), number);
  return number;
}

double
ToDecimal(std::string_view aValue)
{
  double number = 0;
  std::from_chars(aValue.data(), aValue.data() + aValue.size(), number);
  return number;
}

bool
ToBoolean(std::string_view aValue)
{
  return aValue == "true";
}

} // namespace Settings
