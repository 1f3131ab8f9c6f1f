#pragma once

#include <string>
#include <string_view>

namespace Wire {

/**
 * True when aAuthorization is "Bearer " and aSecret. Takes equally long
 * wherever the two differ, so that guessing learns nothing from the time.
 */
bool
IsBearerOf(std::string_view aAuthorization, std::string_view aSecret);

} // namespace Wire
