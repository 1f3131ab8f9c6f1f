#pragma once

#include <LibCore/LastReason.h>
#include <LibWire/Address.h>

#include <boost/json.hpp>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace Bench {

struct Node
{
  std::string name;
  std::string dataCentre;
  Wire::Address callers;
  Wire::Address operators;
  pid_t proxy = 0;
  pid_t agent = 0;
};

struct DatabaseProcess
{
  std::string name;
  std::string group;
  Wire::Address address;
  pid_t pid = 0;
};

/** A running deployment, as Meta/mastichold.sh up wrote it down. */
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
  /** The process id now: a process that was restarted has another. */
  pid_t PidOf(const std::string& aName, pid_t aFirst) const;
};

} // namespace Bench
