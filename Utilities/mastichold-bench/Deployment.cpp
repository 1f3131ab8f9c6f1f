#include "Deployment.h"

#include <LibCore/File.h>

#include <fstream>
#include <set>

namespace Bench {

namespace {

std::string
TextOf(const boost::json::value& aObject, const char* aKey)
{
  return std::string(aObject.at(aKey).as_string());
}

Wire::Address
AddressOf(const boost::json::value& aObject, const char* aKey)
{
  Core::LastReason reason;
  return Wire::Address::Parse(TextOf(aObject, aKey), reason)
    .value_or(Wire::Address{});
}

pid_t
PidFrom(const boost::json::value& aObject, const char* aKey)
{
  return aObject.at(aKey).to_number<pid_t>();
}

Deployment
FromJson(const boost::json::value& aValue)
{
  Deployment deployment;
  deployment.preset = TextOf(aValue, "deployment");
  deployment.secret = TextOf(aValue, "operators_secret");
  deployment.platform = AddressOf(aValue.at("platform"), "address");
  for (const auto& item : aValue.at("nodes").as_array())
    deployment.nodes.push_back({ TextOf(item, "name"),
                                 TextOf(item, "data_centre"),
                                 AddressOf(item, "callers"),
                                 AddressOf(item, "operators"),
                                 PidFrom(item, "proxy_pid"),
                                 PidFrom(item, "agent_pid") });
  for (const auto& item : aValue.at("databases").as_array())
    deployment.databases.push_back({ TextOf(item, "name"),
                                     TextOf(item, "group"),
                                     AddressOf(item, "address"),
                                     PidFrom(item, "pid") });
  return deployment;
}

} // namespace

std::optional<Deployment>
Deployment::Load(const std::string& aPath, Core::LastReason& aReason)
{
  boost::system::error_code error;
  const auto value =
    boost::json::parse(Core::ReadFile(aPath).value_or(""), error);
  if (error)
    return aReason.Set(aPath + ": " + error.message());
  try {
    Deployment deployment = FromJson(value);
    deployment.directory = aPath.substr(0, aPath.rfind('/'));
    return deployment;
  } catch (const std::exception& problem) {
    return aReason.Set(aPath + ": " + problem.what());
  }
}

std::vector<std::string>
Deployment::Groups() const
{
  std::set<std::string> groups;
  for (const DatabaseProcess& database : databases)
    groups.insert(database.group);
  return { groups.begin(), groups.end() };
}

const DatabaseProcess*
Deployment::FindDatabase(const std::string& aName) const
{
  for (const DatabaseProcess& database : databases) {
    if (database.name == aName)
      return &database;
  }
  return nullptr;
}

pid_t
Deployment::PidOf(const std::string& aName, pid_t aInitialPid) const
{
  std::ifstream file(directory + "/pid/" + aName);
  pid_t pid = aInitialPid;
  file >> pid;
  return file ? pid : aInitialPid;
}

} // namespace Bench
