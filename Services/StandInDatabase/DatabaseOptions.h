#pragma once

#include <LibCore/Clock.h>
#include <LibWire/Address.h>

#include <string>

namespace StandIn {

/** How one stand-in database was started. */
struct DatabaseOptions
{
  std::string name;
  Wire::Address listen;
  /** Holds the log file and the data; kept across a crash. */
  std::string directory;
  std::string schema;
  /** Statements that may run at once. */
  std::size_t slots = 5;
  /** Client connections that may be open at once. */
  std::size_t connections = 35;
  Core::Duration connectTime{ 0 };
  Core::Duration readTime{ 0 };
  Core::Duration writeTime{ 0 };
  /** One-way latency to emulate. */
  Core::Duration latency{ 0 };
  /** True for a member of a group's first set, which starts with no data. */
  bool isFounder = false;
};

} // namespace StandIn
