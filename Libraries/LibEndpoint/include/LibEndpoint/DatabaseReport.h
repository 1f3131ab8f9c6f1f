#pragma once

#include <LibCore/Clock.h>
#include <LibSession/LogPosition.h>

#include <boost/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace Endpoint {

using Session::LogPosition;
using Session::Term;

/** The state that a database reports about itself in one response. */
struct DatabaseReport
{
  /** Changes when the database loses its file and starts anew. */
  std::string identity;
  LogPosition log;
  /** The highest term that the database has promised to a promoter. */
  Term promised = 0;
  /** The promoter to whom that term was promised. */
  std::string owner;
  bool isPrimary = false;
  /** True while a database that lost its file has not caught up. */
  bool isJoining = false;
  /**
   * The databases that are known to have lost their files: the new identity of
   * each, by name. Promotion uses it to ignore votes given under the old one.
   */
  std::map<std::string, std::string> identities;
  /** The name of the primary that it follows; empty if none. */
  std::string follows;

  /** True if the log is of the term that the database has promised. */
  bool IsSettled() const { return promised == log.term; }
};

/**
 * Reads a report from a database's JSON response. Returns std::nullopt if a
 * field is missing or invalid.
 */
std::optional<DatabaseReport>
ReportFromJson(const boost::json::object& aObject);

} // namespace Endpoint
