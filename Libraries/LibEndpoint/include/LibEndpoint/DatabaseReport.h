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

/** What a database said of itself in one answer. */
struct DatabaseReport
{
  std::string identity;
  LogPosition log;
  /** The highest term promised to a promoter. */
  Term promised = 0;
  /** The promoter to whom that term was promised. */
  std::string owner;
  bool isPrimary = false;
  /** True for a database that lost its file and has not caught up. */
  bool isJoining = false;
  /** Databases that it knows to have lost their files; see Promotion. */
  std::map<std::string, std::string> identities;
  /** Whom it follows; empty when nobody. */
  std::string follows;

  /** True when the database's own term is the one that it has promised. */
  bool IsSettled() const { return promised == log.term; }
};

/** Reads the report's fields from a database's JSON answer. */
std::optional<DatabaseReport>
ReportFromJson(const boost::json::object& aObject);

} // namespace Endpoint
