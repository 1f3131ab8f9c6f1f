#pragma once

#include <boost/json.hpp>

#include <functional>
#include <string_view>

namespace Pooler {

/** Where structured log lines go: what happened, and its facts. */
using LogSink = std::function<void(std::string_view, boost::json::object)>;

} // namespace Pooler
