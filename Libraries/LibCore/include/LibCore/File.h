#pragma once

#include <optional>
#include <string>

namespace Core {

/** The whole text of the file at aPath; absent when it can't be read. */
std::optional<std::string>
ReadFile(const std::string& aPath);

} // namespace Core
