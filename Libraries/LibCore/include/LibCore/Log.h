#pragma once

#include <boost/json.hpp>

#include <string_view>

namespace Core {

/**
 * Starts logging to standard error, one JSON object per line. Every object has
 * aProcess in its "process" field.
 */
void
StartLog(std::string_view aProcess);

/**
 * Starts logging to standard output like StartLog, but never blocks on a slow
 * reader. Lines that exceed the rate limit or don't fit into the pipe are
 * dropped; a later line reports their number.
 */
void
StartBoundedLog(std::string_view aProcess);

/** Logs one line for a change of state: the event aWhat and its fields. */
void
LogChange(std::string_view aWhat, boost::json::object aFields = {});

} // namespace Core
