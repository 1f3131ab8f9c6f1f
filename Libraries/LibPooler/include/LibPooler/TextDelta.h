#pragma once

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Pooler {

/**
 * Returns what turns aBefore into aAfter. Both are divided into pieces that end
 * with a closing brace, so that each element of a JSON list is a piece. The
 * delta is a list whose elements are either pairs [first, count] of pieces of
 * aBefore, or new text.
 */
boost::json::array
MakeTextDelta(std::string_view aBefore, std::string_view aAfter);

/** Returns the text after the change; none if the delta doesn't fit aBefore. */
std::optional<std::string>
ApplyTextDelta(std::string_view aBefore, const boost::json::array& aDelta);

/**
 * Applies the deltas of a serialized JSON list, one after the other. Returns
 * none if they can't be read, or don't fit.
 */
std::optional<std::string>
ApplyTextDeltas(std::string_view aBefore, std::string_view aDeltas);

} // namespace Pooler
