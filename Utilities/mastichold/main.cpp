#include "Console.h"

#include <LibCore/File.h>
#include <LibCore/Random.h>
#include <LibCore/Table.h>
#include <LibSettings/FleetSettings.h>
#include <LibSettings/ProcessSettings.h>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using Console::ExitCode;

constexpr int kChangeIdDigits = 16;

/** Values of all command line options and arguments. */
struct Arguments
{
  std::vector<std::string> nodes;
  std::string secretFile;
  std::string deployment;
  bool json = false;
  std::string key;
  std::string value;
  std::string name;
  std::string scope;
  std::string reason;
  std::string changeId;
  std::int64_t basedOn = 0;
};

/** Returns the content of a file without trailing line breaks. */
std::string
ReadTrimmed(const std::string& aPath)
{
  std::string content = Core::ReadFile(aPath).value_or("");
  while (content.ends_with('\n'))
    content.pop_back();
  return content;
}

std::optional<Console::Target>
ReadTarget(const Arguments& aArguments)
{
  Console::Target target{ aArguments.nodes, "" };
  if (const char* secret = std::getenv("MASTICHOLD_SECRET"))
    target.secret = secret;
  if (!aArguments.secretFile.empty())
    target.secret = ReadTrimmed(aArguments.secretFile);
  if (!aArguments.deployment.empty()) {
    boost::system::error_code error;
    const auto file =
      boost::json::parse(ReadTrimmed(aArguments.deployment), error);
    if (error || !file.is_object() || !file.as_object().contains("nodes")) {
      std::cerr << aArguments.deployment
                << ": not a deployment file: a JSON object with \"nodes\" was "
                   "expected\n";
      return std::nullopt;
    }
    for (const auto& node : file.at("nodes").as_array())
      target.nodes.push_back(Console::ToCell(node.at("operators")));
    target.secret = Console::ToCell(file.at("operators_secret"));
  }
  if (target.nodes.empty()) {
    std::cerr << "no node given: use --node or a --deployment file\n";
    return std::nullopt;
  }
  return target;
}

/**
 * Returns the body of a successful response. Otherwise prints the error and
 * sets the exit code.
 */
std::optional<boost::json::object>
ParseBody(const std::optional<Wire::HttpResponse>& aResponse, ExitCode& aExit)
{
  if (!aResponse) {
    std::cerr << "no response from any node\n";
    aExit = ExitCode::Unreachable;
    return std::nullopt;
  }
  boost::system::error_code error;
  auto body = boost::json::parse(aResponse->body, error);
  if (!error && body.is_object() && aResponse->status == 200) {
    aExit = ExitCode::Done;
    return std::move(body.get_object());
  }
  const bool hasReason =
    !error && body.is_object() && body.get_object().contains("error");
  std::cerr << (hasReason ? Console::ToCell(body.at("error")) : aResponse->body)
            << '\n';
  aExit = aResponse->status == 503 ? ExitCode::Unreachable : ExitCode::Rejected;
  return std::nullopt;
}

std::optional<boost::json::object>
Get(const Arguments& aArguments, const std::string& aPath, ExitCode& aExit)
{
  const auto target = ReadTarget(aArguments);
  if (!target) {
    aExit = ExitCode::BadUsage;
    return std::nullopt;
  }
  return ParseBody(Console::SendCommand(*target, Wire::HttpMethod::Get, aPath),
                   aExit);
}

void
PrintObjects(const boost::json::array& aObjects,
             const std::vector<std::string>& aFields)
{
  std::vector<std::vector<std::string>> rows{ aFields };
  for (const boost::json::value& item : aObjects) {
    std::vector<std::string> row;
    for (const std::string& field : aFields) {
      const auto* value = item.as_object().if_contains(field);
      row.push_back(value != nullptr ? Console::ToCell(*value) : "-");
    }
    rows.push_back(std::move(row));
  }
  Core::PrintTable(rows);
}

ExitCode
ShowConfiguration(const Arguments& aArguments)
{
  ExitCode exit = ExitCode::Done;
  const auto body = Get(aArguments, "/v1/operators/config", exit);
  if (!body)
    return exit;
  if (aArguments.json) {
    std::cout << boost::json::serialize(*body) << '\n';
    return exit;
  }
  std::cout << "version " << Console::ToCell(body->at("version"))
            << (body->at("current").as_bool() ? "" : " (not confirmed)")
            << "\n\n";
  PrintObjects(body->at("settings").as_array(),
               { "name", "value", "default", "unit" });
  std::cout << "\nexceptions\n";
  PrintObjects(body->at("exceptions").as_array(),
               { "name", "scope", "key", "value", "reason" });
  return exit;
}

ExitCode
GetSetting(const Arguments& aArguments)
{
  ExitCode exit = ExitCode::Done;
  const auto body = Get(aArguments, "/v1/operators/config", exit);
  if (!body)
    return exit;
  Core::Findings findings;
  const auto fleet = Settings::FleetSettings::Parse(
    Console::ToCell(body->at("text")), "configuration", findings);
  std::string problem;
  std::optional<Settings::Scope> scope = Settings::Scope{};
  if (!aArguments.scope.empty())
    scope = Settings::ParseScope(aArguments.scope, problem);
  const auto& table = Settings::FleetSettingsTable();
  if (!Settings::FindSpec(table, aArguments.key))
    problem = '"' + aArguments.key + "\" is not a setting; the nearest is " +
              std::string(Settings::NearestName(table, aArguments.key));
  if (!fleet || !scope || !problem.empty()) {
    std::cerr << problem << findings.ToText() << '\n';
    return ExitCode::BadUsage;
  }
  const std::string value = fleet->Text(aArguments.key, *scope);
  if (aArguments.json)
    std::cout << boost::json::serialize(boost::json::object{
                   { "key", aArguments.key },
                   { "scope", Settings::ScopeToText(*scope) },
                   { "value", value } })
              << '\n';
  else
    std::cout << value << '\n';
  return exit;
}

/** Returns the configuration version that a change is based on. */
std::optional<std::int64_t>
CurrentVersion(const Arguments& aArguments, ExitCode& aExit)
{
  if (aArguments.basedOn > 0)
    return aArguments.basedOn;
  const auto body = Get(aArguments, "/v1/operators/config", aExit);
  if (!body)
    return std::nullopt;
  return body->at("version").to_number<std::int64_t>();
}

ExitCode
Change(const Arguments& aArguments, boost::json::object aChange)
{
  ExitCode exit = ExitCode::Done;
  const auto version = CurrentVersion(aArguments, exit);
  if (!version)
    return exit;
  const std::string id = aArguments.changeId.empty()
                           ? Core::Random::FromSystem().Hex(kChangeIdDigits)
                           : aArguments.changeId;
  aChange["change_id"] = id;
  aChange["based_on"] = *version;
  aChange["reason"] = aArguments.reason;
  if (const char* author = std::getenv("USER"))
    aChange["author"] = author;
  const auto body =
    ParseBody(Console::SendCommand(*ReadTarget(aArguments),
                                   Wire::HttpMethod::Post,
                                   "/v1/operators/config",
                                   boost::json::serialize(aChange)),
              exit);
  if (!body) {
    std::cerr << "the change id is " << id
              << "; pass it as --change-id to retry the change safely\n";
    return exit;
  }
  if (aArguments.json)
    std::cout << boost::json::serialize(*body) << '\n';
  else
    std::cout << "version " << Console::ToCell(body->at("version"))
              << " is accepted\n";
  return exit;
}

ExitCode
Audit(const Arguments& aArguments, bool aOnlyConfiguration)
{
  ExitCode exit = ExitCode::Done;
  const auto body = Get(aArguments, "/v1/operators/audit", exit);
  if (!body)
    return exit;
  boost::json::array records = body->at("records").as_array();
  if (aOnlyConfiguration) {
    boost::json::array filtered;
    for (const auto& record : records) {
      if (record.at("what") == "configuration")
        filtered.push_back(record);
    }
    records = std::move(filtered);
  }
  if (aArguments.json) {
    std::cout << boost::json::serialize(records) << '\n';
    return exit;
  }
  if (aOnlyConfiguration)
    PrintObjects(records,
                 { "time_ms", "version", "change", "reason", "author" });
  else
    PrintObjects(records,
                 { "time_ms",
                   "what",
                   "version",
                   "change",
                   "group",
                   "term",
                   "primary",
                   "reason",
                   "author" });
  return exit;
}

ExitCode
Status(const Arguments& aArguments)
{
  ExitCode exit = ExitCode::Done;
  const auto agent = Get(aArguments, "/v1/operators/status", exit);
  if (!agent)
    return exit;
  const auto proxy = Get(aArguments, "/v1/proxy/status", exit);
  if (!proxy)
    return exit;
  // The home of a group has its most recent state, so all nodes are queried.
  boost::json::array groups;
  const auto target = ReadTarget(aArguments);
  for (const std::string& node : target->nodes) {
    ExitCode ignored = ExitCode::Done;
    const auto response = Console::SendCommand(
      { { node }, target->secret }, Wire::HttpMethod::Get, "/v1/proxy/status");
    if (!response)
      continue;
    const auto body = ParseBody(response, ignored);
    if (!body)
      continue;
    for (const auto& group : body->at("groups").as_array())
      groups.push_back(group);
  }
  if (aArguments.json) {
    std::cout << boost::json::serialize(
                   boost::json::object{ { "members", agent->at("members") },
                                        { "configuration_version",
                                          agent->at("configuration_version") },
                                        { "homes", proxy->at("homes") },
                                        { "groups", groups } })
              << '\n';
    return exit;
  }
  std::cout << "configuration version "
            << Console::ToCell(agent->at("configuration_version")) << "\n\n";
  PrintObjects(agent->at("members").as_array(),
               { "name", "data_centre", "state", "listed" });
  std::cout << "\nhomes\n";
  PrintObjects(proxy->at("homes").as_array(), { "group", "home" });
  std::cout << "\ngroups, as their homes see them\n";
  PrintObjects(groups, { "group", "home", "primary", "term" });
  for (const auto& group : groups) {
    std::cout << '\n' << Console::ToCell(group.at("group")) << '\n';
    PrintObjects(group.at("databases").as_array(),
                 { "name",
                   "data_centre",
                   "state",
                   "reachable",
                   "position",
                   "age_ms",
                   "connections",
                   "queued" });
  }
  return exit;
}

/**
 * Prints docs/settings.md, generated from the tables that the settings are
 * validated against.
 */
void
PrintSettings()
{
  std::cout
    << "# Settings\n\n"
       "This page is what `mastichold settings` prints.\n\n"
       "## A daemon's own INI file\n\n"
    << Settings::ToMarkdown(Settings::ProcessSettingsTable())
    << "\n## mastichold-node's own INI file\n\n"
    << Settings::ToMarkdown(Settings::NodeSettingsTable())
    << "\n## The fleet's configuration\n\n"
       "Defaults for all; `[kind NAME]` sets a `kind.` setting for one "
       "kind of request; an\n`[exception NAME]` has `scope` (`group=`, "
       "`kind=`, `data_centre=`), `key`, `value` and\n`reason`, and the "
       "most specific one wins.\n\n"
    << Settings::ToMarkdown(Settings::FleetSettingsTable());
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app{ "mastichold: the operators' tool" };
  Arguments arguments;
  ExitCode exit = ExitCode::Done;
  app.require_subcommand(1);
  app.set_version_flag("--version", MASTICHOLD_VERSION);
  app.fallthrough();
  app.add_option("--node", arguments.nodes, "Operators' address, ip:port");
  app
    .add_option("--secret-file",
                arguments.secretFile,
                "File with the operators' secret; else $MASTICHOLD_SECRET")
    ->check(CLI::ExistingFile);
  app
    .add_option("--deployment",
                arguments.deployment,
                "A deployment.json with all addresses and the secret")
    ->check(CLI::ExistingFile);
  app.add_flag("--json", arguments.json, "JSON instead of a table");

  app.add_subcommand("status", "Members, groups, primaries, lags, homes")
    ->callback([&] { exit = Status(arguments); });
  app.add_subcommand("settings", "All settings, as Markdown")->callback([] {
    PrintSettings();
  });
  app.add_subcommand("audit", "The audit trail of changes")->callback([&] {
    exit = Audit(arguments, false);
  });
  CLI::App* config = app.add_subcommand("config", "The fleet's configuration");
  config->require_subcommand(1);
  config->add_subcommand("show", "All settings and exceptions")->callback([&] {
    exit = ShowConfiguration(arguments);
  });
  config->add_subcommand("history", "The versions of the configuration")
    ->callback([&] { exit = Audit(arguments, true); });
  CLI::App* get = config->add_subcommand("get", "One setting's value");
  get->add_option("key", arguments.key, "section.key")->required();
  get->add_option("--scope", arguments.scope, "group=, kind=, data_centre=");
  get->callback([&] { exit = GetSetting(arguments); });

  const auto addChange = [&](CLI::App* aCommand) {
    aCommand->add_option("--reason", arguments.reason, "Why")->required();
    aCommand->add_option(
      "--change-id", arguments.changeId, "Id of a change, to retry it safely");
    aCommand->add_option(
      "--based-on", arguments.basedOn, "Version that the change is based on");
  };
  CLI::App* set = config->add_subcommand("set", "Change a default");
  set->add_option("key", arguments.key, "section.key or \"kind NAME.key\"")
    ->required();
  set->add_option("value", arguments.value)->required();
  addChange(set);
  set->callback([&] {
    exit = Change(arguments,
                  { { "edit", "set" },
                    { "name", arguments.key },
                    { "value", arguments.value } });
  });
  CLI::App* except = config->add_subcommand("except", "Add an exception");
  except->add_option("name", arguments.name, "The exception's name")
    ->required();
  except->add_option("key", arguments.key, "section.key")->required();
  except->add_option("value", arguments.value)->required();
  except->add_option("--scope", arguments.scope, "group=, kind=, data_centre=")
    ->required();
  addChange(except);
  except->callback([&] {
    exit = Change(arguments,
                  { { "edit", "except" },
                    { "name", arguments.name },
                    { "key", arguments.key },
                    { "value", arguments.value },
                    { "scope", arguments.scope } });
  });
  CLI::App* unexcept =
    config->add_subcommand("unexcept", "Remove an exception");
  unexcept->add_option("name", arguments.name, "The exception's name")
    ->required();
  addChange(unexcept);
  unexcept->callback([&] {
    exit =
      Change(arguments, { { "edit", "unexcept" }, { "name", arguments.name } });
  });
  try {
    app.parse(aCount, aValues);
  } catch (const CLI::ParseError& error) {
    const bool isHelp = app.exit(error) == 0;
    return static_cast<int>(isHelp ? ExitCode::Done : ExitCode::BadUsage);
  }
  return static_cast<int>(exit);
}
