#pragma once

#include <LibWire/HttpMessage.h>

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Console {

/** How the tool ends; docs/operators.md lists these. */
enum class ExitCode : int
{
  Done = 0,
  /** The fleet refused the order, or it came too late. */
  Refused = 1,
  BadUsage = 2,
  /** No node answered, or the store can't be had. */
  Unreachable = 3,
};

/** Where operators' commands go. */
struct Target
{
  /** Operators' addresses, tried in order. */
  std::vector<std::string> nodes;
  std::string secret;
};

/** Sends a command to the first node that answers; waits for the answer. */
std::optional<Wire::HttpAnswer>
Ask(const Target& aTarget,
    Wire::HttpMethod aMethod,
    const std::string& aPath,
    const std::string& aBody = "");

/** aValue as one table cell. */
std::string
CellOf(const boost::json::value& aValue);

} // namespace Console
