#pragma once

#include <LibCore/LastReason.h>
#include <LibWire/Address.h>

#include <boost/json.hpp>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace Bench {

/** A node: a proxy and an agent, with the addresses of its interfaces. */
struct Node
{
  std::string name;
  std::string dataCentre;
  Wire::Address callers;
  Wire::Address operators;
  pid_t proxy = 0;
  pid_t agent = 0;
};

/** A database process of an endpoint group. */
struct DatabaseProcess
{
  std::string name;
  std::string group;
  Wire::Address address;
  pid_t pid = 0;
};

/** A running deployment, as Meta/mastichold.sh up describes it in a file. */
struct Deployment
{
  std::string preset;
  std::string directory;
  std::vector<Node> nodes;
  std::vector<DatabaseProcess> databases;
  Wire::Address platform;
  std::string secret;

  static std::optional<Deployment> Load(const std::string& aPath,
                                        Core::LastReason& aReason);

  std::vector<std::string> Groups() const;
  const DatabaseProcess* FindDatabase(const std::string& aName) const;
  /**
   * Returns the current process id of aName, which changes with a restart.
   * Returns aInitialPid when the pid file cannot be read.
   */
  pid_t PidOf(const std::string& aName, pid_t aInitialPid) const;
};

} // namespace Bench
