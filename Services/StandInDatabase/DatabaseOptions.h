#pragma once

#include <LibCore/Clock.h>
#include <LibWire/Address.h>

#include <string>

namespace StandIn {

/** The command line options of one stand-in database. */
struct DatabaseOptions
{
  std::string name;
  Wire::Address listen;
  /** Holds the log file and the data file, which survive a crash. */
  std::string directory;
  std::string schema;
  /** The maximum number of exchanges that run concurrently. */
  std::size_t slots = 5;
  /** The maximum number of open client connections. */
  std::size_t connections = 35;
  Core::Duration connectTime{ 0 };
  Core::Duration readTime{ 0 };
  Core::Duration writeTime{ 0 };
  /** The emulated one-way network latency. */
  Core::Duration latency{ 0 };
  /** True for a member of a group's initial set, which starts with no data. */
  bool isInitialMember = false;
};

} // namespace StandIn
