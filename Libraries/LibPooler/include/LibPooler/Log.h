#pragma once

#include <boost/json.hpp>

#include <functional>
#include <string_view>

namespace Pooler {

/** Receives structured log lines: the event name and its fields. */
using LogSink = std::function<void(std::string_view, boost::json::object)>;

} // namespace Pooler
