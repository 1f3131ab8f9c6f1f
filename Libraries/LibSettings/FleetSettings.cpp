#include <LibSettings/FleetSettings.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace Settings {

namespace {

constexpr std::string_view kKindPrefix = "kind ";
constexpr std::string_view kExceptionPrefix = "exception ";

std::string
Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(' ');
  if (first == std::string_view::npos)
    return "";
  const std::size_t last = aText.find_last_not_of(' ');
  return std::string(aText.substr(first, last - first + 1));
}

bool
ScopePartMatches(const std::string& aPattern, const std::string& aActual)
{
  return aPattern.empty() || aPattern == aActual;
}

/** For "kind ", turns "kind steward lookup" into "steward lookup". */
std::optional<std::string>
NameAfterPrefix(std::string_view aPrefix, std::string_view aSection)
{
  if (!aSection.starts_with(aPrefix))
    return std::nullopt;
  return Trim(aSection.substr(aPrefix.size()));
}

} // namespace

int
SettingException::Specificity() const
{
  return static_cast<int>(!scope.group.empty()) +
         static_cast<int>(!scope.kind.empty()) +
         static_cast<int>(!scope.dataCentre.empty());
}

bool
SettingException::Covers(const Scope& aScope) const
{
  return ScopePartMatches(scope.group, aScope.group) &&
         ScopePartMatches(scope.kind, aScope.kind) &&
         ScopePartMatches(scope.dataCentre, aScope.dataCentre);
}

std::optional<Scope>
ParseScope(std::string_view aText, std::string& aProblem)
{
  Scope scope;
  std::istringstream parts{ std::string(aText) };
  std::string part;
  while (std::getline(parts, part, ',')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) {
      aProblem = '"' + Trim(part) + "\" is not name=value";
      return std::nullopt;
    }
    const std::string name = Trim(part.substr(0, equals));
    const std::string value = Trim(part.substr(equals + 1));
    if (name == "group")
      scope.group = value;
    else if (name == "kind")
      scope.kind = value;
    else if (name == "data_centre")
      scope.dataCentre = value;
    else {
      aProblem = '"' + name + "\" is not group, kind or data_centre";
      return std::nullopt;
    }
  }
  if (scope.group.empty() && scope.kind.empty() && scope.dataCentre.empty()) {
    aProblem = "names no group, kind or data_centre";
    return std::nullopt;
  }
  return scope;
}

std::string
ScopeToText(const Scope& aScope)
{
  std::string text;
  const auto add = [&text](std::string_view aName, const std::string& aValue) {
    if (aValue.empty())
      return;
    if (!text.empty())
      text += ", ";
    text += std::string(aName) + '=' + aValue;
  };
  add("group", aScope.group);
  add("kind", aScope.kind);
  add("data_centre", aScope.dataCentre);
  return text;
}

std::optional<FleetSettings>
FleetSettings::Parse(std::string_view aText,
                     const std::string& aName,
                     Core::Findings& aFindings)
{
  FleetSettings settings;
  for (const IniEntry& entry : ReadIni(aText, aName, aFindings))
    settings.AddEntry(entry, aName, aFindings);
  settings.CheckExceptions(aName, aFindings);
  if (!aFindings.IsEmpty())
    return std::nullopt;
  return settings;
}

void
FleetSettings::AddEntry(const IniEntry& aEntry,
                        const std::string& aName,
                        Core::Findings& aFindings)
{
  const std::string place = aName + ':' + std::to_string(aEntry.line) + " [" +
                            aEntry.section + "] " + aEntry.key;
  if (NameAfterPrefix(kExceptionPrefix, aEntry.section)) {
    AddExceptionEntry(aEntry, place, aFindings);
    return;
  }
  const auto kind = NameAfterPrefix(kKindPrefix, aEntry.section);
  const std::string name = (kind ? "kind" : aEntry.section) + '.' + aEntry.key;
  const SettingSpec* spec = FindSpec(FleetSettingsTable(), name);
  if (spec == nullptr) {
    aFindings.Add(place,
                  "is not a setting; the nearest is " +
                    std::string(NearestName(FleetSettingsTable(), name)));
    return;
  }
  if (auto problem = CheckValue(*spec, aEntry.value)) {
    aFindings.Add(place, *problem);
    return;
  }
  if (kind && std::find(kinds_.begin(), kinds_.end(), *kind) == kinds_.end())
    kinds_.push_back(*kind);
  defaults_[aEntry.section + '.' + aEntry.key] = aEntry.value;
}

void
FleetSettings::AddExceptionEntry(const IniEntry& aEntry,
                                 const std::string& aPlace,
                                 Core::Findings& aFindings)
{
  const std::string name = *NameAfterPrefix(kExceptionPrefix, aEntry.section);
  auto found = std::find_if(
    exceptions_.begin(), exceptions_.end(), [&name](const auto& aException) {
      return aException.name == name;
    });
  if (found == exceptions_.end()) {
    exceptions_.push_back({ name, {}, {}, {}, {} });
    found = exceptions_.end() - 1;
  }
  if (aEntry.key == "scope") {
    std::string problem;
    if (auto scope = ParseScope(aEntry.value, problem))
      found->scope = *scope;
    else
      aFindings.Add(aPlace, problem);
  } else if (aEntry.key == "key") {
    found->key = aEntry.value;
  } else if (aEntry.key == "value") {
    found->value = aEntry.value;
  } else if (aEntry.key == "reason") {
    found->reason = aEntry.value;
  } else {
    aFindings.Add(aPlace, "is not scope, key, value or reason");
  }
}

void
FleetSettings::CheckExceptions(const std::string& aName,
                               Core::Findings& aFindings) const
{
  for (const SettingException& exception : exceptions_) {
    const std::string place = aName + " [exception " + exception.name + ']';
    if (exception.Specificity() == 0)
      aFindings.Add(place, "has no scope");
    if (exception.reason.empty())
      aFindings.Add(place, "has no reason; every exception needs one");
    const SettingSpec* spec = FindSpec(FleetSettingsTable(), exception.key);
    if (spec == nullptr)
      aFindings.Add(
        place + " key",
        '"' + exception.key + "\" is not a setting; the nearest is " +
          std::string(NearestName(FleetSettingsTable(), exception.key)));
    else if (auto problem = CheckValue(*spec, exception.value))
      aFindings.Add(place + " value", *problem);
  }
}

const SettingException*
FleetSettings::MostSpecificException(std::string_view aName,
                                     const Scope& aScope) const
{
  const SettingException* best = nullptr;
  for (const SettingException& exception : exceptions_) {
    if (exception.key != aName || !exception.Covers(aScope))
      continue;
    if (best == nullptr || exception.Specificity() > best->Specificity())
      best = &exception;
  }
  return best;
}

std::string
FleetSettings::Text(std::string_view aName, const Scope& aScope) const
{
  if (const SettingException* exception = MostSpecificException(aName, aScope))
    return exception->value;
  constexpr std::string_view kKindSection = "kind.";
  if (!aScope.kind.empty() && aName.starts_with(kKindSection)) {
    const auto kindValue =
      defaults_.find("kind " + aScope.kind + '.' +
                     std::string(aName.substr(kKindSection.size())));
    if (kindValue != defaults_.end())
      return kindValue->second;
  }
  const auto found = defaults_.find(aName);
  if (found != defaults_.end())
    return found->second;
  const SettingSpec* spec = FindSpec(FleetSettingsTable(), aName);
  return spec != nullptr ? std::string(spec->standard) : "";
}

std::int64_t
FleetSettings::Integer(std::string_view aName, const Scope& aScope) const
{
  return ToInteger(Text(aName, aScope));
}

bool
FleetSettings::Boolean(std::string_view aName, const Scope& aScope) const
{
  return ToBoolean(Text(aName, aScope));
}

Core::Duration
FleetSettings::Milliseconds(std::string_view aName, const Scope& aScope) const
{
  return std::chrono::milliseconds(Integer(aName, aScope));
}

std::string
FleetSettings::ToIni() const
{
  std::map<std::string, std::string> sections;
  for (const auto& [name, value] : defaults_) {
    const std::size_t dot = name.rfind('.');
    std::string& section = sections[name.substr(0, dot)];
    section += name.substr(dot + 1);
    section += " = ";
    section += value;
    section += '\n';
  }
  std::string text;
  for (const auto& [section, entries] : sections) {
    text += '[';
    text += section;
    text += "]\n";
    text += entries;
    text += '\n';
  }
  for (const SettingException& exception : exceptions_) {
    text += "[exception " + exception.name + "]\n";
    text += "scope = " + ScopeToText(exception.scope) + '\n';
    text += "key = " + exception.key + '\n';
    text += "value = " + exception.value + '\n';
    text += "reason = " + exception.reason + "\n\n";
  }
  return text;
}

void
FleetSettings::SetDefault(const std::string& aName, const std::string& aValue)
{
  defaults_[aName] = aValue;
}

void
FleetSettings::SetException(SettingException aException)
{
  RemoveException(aException.name);
  exceptions_.push_back(std::move(aException));
}

bool
FleetSettings::RemoveException(std::string_view aName)
{
  return std::erase_if(exceptions_, [aName](const auto& aException) {
           return aException.name == aName;
         }) > 0;
}

} // namespace Settings
