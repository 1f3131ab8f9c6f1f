#pragma once

#include <string>
#include <string_view>

namespace Wire {

/**
 * True if aAuthorization is "Bearer " followed by aSecret. The time taken does
 * not depend on where the two differ, which prevents timing attacks.
 */
bool
IsBearerOf(std::string_view aAuthorization, std::string_view aSecret);

} // namespace Wire
