#pragma once

#include <optional>
#include <string>

namespace Core {

/** Returns the contents of the file, or std::nullopt if it can't be opened. */
std::optional<std::string>
ReadFile(const std::string& aPath);

} // namespace Core
