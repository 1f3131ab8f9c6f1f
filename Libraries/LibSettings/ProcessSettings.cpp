#include <LibSettings/ProcessSettings.h>

#include <LibCore/File.h>
#include <LibSettings/IniReader.h>

#include <sstream>

namespace Settings {

namespace {

constexpr std::int64_t kMaxLatencyMicroseconds = 1'000'000;

void
CheckEntry(const IniEntry& aEntry,
           const std::string& aName,
           const SettingsTable& aTable,
           Core::Findings& aFindings)
{
  const std::string name = aEntry.section + '.' + aEntry.key;
  const std::string place = aName + ':' + std::to_string(aEntry.line) + " [" +
                            aEntry.section + "] " + aEntry.key;
  const SettingSpec* spec = FindSpec(aTable, name);
  if (spec == nullptr) {
    aFindings.Add(place,
                  "is not a setting; the nearest is " +
                    std::string(NearestName(aTable, name)));
    return;
  }
  if (auto problem = CheckValue(*spec, aEntry.value))
    aFindings.Add(place, *problem);
}

} // namespace

const SettingsTable&
ProcessSettingsTable()
{
  static const SettingsTable kTable{
    { "node.name",
      SettingType::Text,
      "",
      0,
      0,
      "",
      "This VM's name, as in the platform's VM list." },
    { "node.data_centre",
      SettingType::Text,
      "",
      0,
      0,
      "",
      "The data centre that the VM stands in." },
    { "proxy.callers",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where the proxy listens for callers." },
    { "proxy.peers",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where the proxy listens for other proxies." },
    { "proxy.operators",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where the proxy answers the balancer and operators." },
    { "agent.address",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where the agent listens for its proxy and other agents." },
    { "agent.seeds",
      SettingType::AddressList,
      "",
      0,
      0,
      "",
      "Agents to ask first when the platform's list can't be had.",
      true },
    { "platform.address",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "The platform's service." },
    { "platform.first_configuration",
      SettingType::Text,
      "",
      0,
      0,
      "",
      "A file with the fleet's first configuration, for an empty store.",
      true },
    { "secrets.operators",
      SettingType::Text,
      "",
      0,
      0,
      "",
      "The bearer secret that operators must send." },
    { "secrets.peers",
      SettingType::Text,
      "",
      0,
      0,
      "",
      "The bearer secret among the system's own processes." },
    { "experiments.latency_us",
      SettingType::Integer,
      "us",
      0,
      kMaxLatencyMicroseconds,
      "0",
      "One-way latency to emulate on the callers' and peers' addresses." },
  };
  return kTable;
}

std::optional<ProcessSettings>
ProcessSettings::Parse(std::string_view aText,
                       const std::string& aName,
                       Core::Findings& aFindings,
                       const SettingsTable& aTable)
{
  ProcessSettings settings;
  for (const IniEntry& entry : ReadIni(aText, aName, aFindings)) {
    CheckEntry(entry, aName, aTable, aFindings);
    settings.values_[entry.section + '.' + entry.key] = entry.value;
  }
  for (const SettingSpec& spec : aTable) {
    const auto given = settings.values_.find(spec.name);
    const bool isGiven = given != settings.values_.end();
    if (isGiven && !(given->second.empty() && spec.mayBeEmpty))
      continue;
    if (spec.standard.empty() && !spec.mayBeEmpty)
      aFindings.Add(aName, std::string(spec.name) + " is missing");
    settings.values_[std::string(spec.name)] = spec.standard;
  }
  if (!aFindings.IsEmpty())
    return std::nullopt;
  return settings;
}

std::optional<ProcessSettings>
ProcessSettings::Load(const std::string& aPath,
                      Core::Findings& aFindings,
                      const SettingsTable& aTable)
{
  const auto text = Core::ReadFile(aPath);
  if (!text) {
    aFindings.Add(aPath, "can't be read");
    return std::nullopt;
  }
  return Parse(*text, aPath, aFindings, aTable);
}

std::string
ProcessSettings::Text(std::string_view aName) const
{
  return values_.find(aName)->second;
}

std::int64_t
ProcessSettings::Integer(std::string_view aName) const
{
  return ToInteger(Text(aName));
}

bool
ProcessSettings::Boolean(std::string_view aName) const
{
  return ToBoolean(Text(aName));
}

double
ProcessSettings::Decimal(std::string_view aName) const
{
  return ToDecimal(Text(aName));
}

Wire::Address
ProcessSettings::Address(std::string_view aName) const
{
  Core::LastReason reason;
  return Wire::Address::Parse(Text(aName), reason).value_or(Wire::Address{});
}

std::vector<Wire::Address>
ProcessSettings::Addresses(std::string_view aName) const
{
  std::vector<Wire::Address> addresses;
  std::istringstream items(Text(aName));
  std::string item;
  Core::LastReason reason;
  while (std::getline(items >> std::ws, item, ',')) {
    if (auto address = Wire::Address::Parse(item, reason))
      addresses.push_back(*address);
  }
  return addresses;
}

} // namespace Settings
