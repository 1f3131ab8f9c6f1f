#pragma once

#include <LibCore/Clock.h>
#include <LibSettings/IniReader.h>
#include <LibSettings/SettingsTable.h>

namespace Settings {

/** The settings of the whole fleet, which can change at run time. */
const SettingsTable&
FleetSettingsTable();

/**
 * The group, kind of request and data centre that a setting is looked up for,
 * or that an exception applies to. An empty member of an exception's scope
 * matches every lookup. An empty member of a lookup matches only exceptions
 * that don't name this member.
 */
struct Scope
{
  std::string group;
  std::string kind;
  std::string dataCentre;
};

/** Overrides a fleet setting within a scope, for a documented reason. */
struct SettingException
{
  std::string name;
  Scope scope;
  /** The name of a setting in FleetSettingsTable. */
  std::string key;
  std::string value;
  std::string reason;

  /** Returns the number of members that scope names; the highest wins. */
  int Specificity() const;
  /** Returns whether the exception applies to a lookup with aScope. */
  bool Covers(const Scope& aScope) const;
};

/**
 * The validated fleet settings. Their INI form has "[section] key = value" for
 * defaults, "[kind NAME] key = value" for one kind of request, and
 * "[exception NAME]" with the keys scope, key, value and reason.
 */
class FleetSettings
{
public:
  /** Settings that all have their default values. */
  FleetSettings() = default;

  /** Returns std::nullopt if there are findings. aName is the file's name. */
  static std::optional<FleetSettings> Parse(std::string_view aText,
                                            const std::string& aName,
                                            Core::Findings& aFindings);

  /** Returns the value of the setting aName ("section.key") in aScope. */
  std::string Text(std::string_view aName, const Scope& aScope = {}) const;
  std::int64_t Integer(std::string_view aName, const Scope& aScope = {}) const;
  bool Boolean(std::string_view aName, const Scope& aScope = {}) const;
  /** Returns the value of a setting in milliseconds. */
  Core::Duration Milliseconds(std::string_view aName,
                              const Scope& aScope = {}) const;

  const std::vector<SettingException>& Exceptions() const
  {
    return exceptions_;
  }
  const std::vector<std::string>& Kinds() const { return kinds_; }

  /** Returns an INI text that Parse reads back as these settings. */
  std::string ToIni() const;

  /**
   * The setters below don't validate. After changes by operators, pass ToIni()
   * to Parse.
   */
  void SetDefault(const std::string& aName, const std::string& aValue);
  void SetException(SettingException aException);
  bool RemoveException(std::string_view aName);

private:
  void AddEntry(const IniEntry& aEntry,
                const std::string& aName,
                Core::Findings& aFindings);
  void AddExceptionEntry(const IniEntry& aEntry,
                         const std::string& aPlace,
                         Core::Findings& aFindings);
  void CheckExceptions(const std::string& aName,
                       Core::Findings& aFindings) const;
  const SettingException* MostSpecificException(std::string_view aName,
                                                const Scope& aScope) const;

  /** Keys are "section.key", or "kind NAME.key" for one kind of request. */
  std::map<std::string, std::string, std::less<>> defaults_;
  std::vector<SettingException> exceptions_;
  std::vector<std::string> kinds_;
};

/**
 * Parses "group=a, kind=b, data_centre=c". At least one part must be present.
 * On failure, returns std::nullopt and sets aProblem.
 */
std::optional<Scope>
ParseScope(std::string_view aText, std::string& aProblem);
std::string
ScopeToText(const Scope& aScope);

} // namespace Settings
