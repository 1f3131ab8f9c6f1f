#pragma once

#include <boost/json.hpp>

#include <string_view>

namespace Core {

/** Sends one JSON object a line to standard error, tagged with aProcess. */
void
StartLog(std::string_view aProcess);

/**
 * Sends the lines to standard output instead, without ever waiting for whoever
 * reads it. Lines above a rate, and those that don't fit the pipe, are dropped
 * and counted in a later line.
 */
void
StartBoundedLog(std::string_view aProcess);

/** One line for a change of state: what changed, and its facts. */
void
LogChange(std::string_view aWhat, boost::json::object aFacts = {});

} // namespace Core
