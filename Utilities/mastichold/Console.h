#pragma once

#include <LibWire/HttpMessage.h>

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Console {

/** Exit codes of the tool; docs/operators.md lists them. */
enum class ExitCode : int
{
  Done = 0,
  /** The fleet rejected the command, or its version was out of date. */
  Rejected = 1,
  BadUsage = 2,
  /** No node responded, or the store is unavailable. */
  Unreachable = 3,
};

/** The nodes that operators' commands are sent to, and the secret. */
struct Target
{
  /** Addresses (ip:port) of the operator interfaces, tried in order. */
  std::vector<std::string> nodes;
  std::string secret;
};

/**
 * Sends a command to the nodes in order, and blocks until one responds. Skips
 * nodes with status 502: their proxy cannot reach the agent. Returns nullopt
 * when no node responds.
 */
std::optional<Wire::HttpResponse>
SendCommand(const Target& aTarget,
            Wire::HttpMethod aMethod,
            const std::string& aPath,
            const std::string& aBody = "");

/** Returns aValue as the text of one table cell; null becomes "-". */
std::string
ToCell(const boost::json::value& aValue);

} // namespace Console
