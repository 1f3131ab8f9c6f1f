#pragma once

#include <LibCore/Clock.h>
#include <LibSettings/IniReader.h>
#include <LibSettings/SettingsTable.h>

namespace Settings {

/** The settings that hold for the whole fleet and change while it runs. */
const SettingsTable&
FleetSettingsTable();

/** What a value is asked for; an empty member fits no exception's scope. */
struct Scope
{
  std::string group;
  std::string kind;
  std::string dataCentre;
};

/** A departure from the fleet's defaults, with its written reason. */
struct SettingException
{
  std::string name;
  Scope scope;
  /** A name of the fleet's table. */
  std::string key;
  std::string value;
  std::string reason;

  /** How many of the scope's members are named; the most specific wins. */
  int Specificity() const;
  bool Covers(const Scope& aScope) const;
};

/**
 * The fleet's INI, checked: "[section] key = value" for defaults,
 * "[kind NAME] key = value" for one kind of request, and "[exception NAME]"
 * with scope, key, value and reason.
 */
class FleetSettings
{
public:
  /** The table's defaults alone. */
  FleetSettings() = default;

  static std::optional<FleetSettings> Parse(std::string_view aText,
                                            const std::string& aName,
                                            Core::Findings& aFindings);

  /** The value of the table's aName in aScope, as text. */
  std::string Text(std::string_view aName, const Scope& aScope = {}) const;
  std::int64_t Integer(std::string_view aName, const Scope& aScope = {}) const;
  bool Boolean(std::string_view aName, const Scope& aScope = {}) const;
  /** A setting whose unit is the millisecond. */
  Core::Duration Milliseconds(std::string_view aName,
                              const Scope& aScope = {}) const;

  const std::vector<SettingException>& Exceptions() const
  {
    return exceptions_;
  }
  const std::vector<std::string>& Kinds() const { return kinds_; }

  /** The INI text that Parse would read back as these settings. */
  std::string ToIni() const;

  /** Edits for operators' commands; the result still has to be parsed. */
  void SetDefault(const std::string& aName, const std::string& aValue);
  void SetException(SettingException aException);
  bool RemoveException(std::string_view aName);

private:
  void TakeEntry(const IniEntry& aEntry,
                 const std::string& aName,
                 Core::Findings& aFindings);
  void TakeExceptionEntry(const IniEntry& aEntry,
                          const std::string& aPlace,
                          Core::Findings& aFindings);
  void CheckExceptions(const std::string& aName,
                       Core::Findings& aFindings) const;
  const SettingException* BestException(std::string_view aName,
                                        const Scope& aScope) const;

  /** Keyed "section.key", or "kind NAME.key" for one kind. */
  std::map<std::string, std::string, std::less<>> defaults_;
  std::vector<SettingException> exceptions_;
  std::vector<std::string> kinds_;
};

/** Reads "group=a, kind=b, data_centre=c"; any part may be absent. */
std::optional<Scope>
ParseScope(std::string_view aText, std::string& aProblem);
std::string
ScopeToText(const Scope& aScope);

} // namespace Settings
