#pragma once

#include <cstdint>
#include <string_view>

namespace Core {

/** FNV-1a over aText, then mixed; the same on every machine and run. */
std::uint64_t
StableHash(std::string_view aText);

} // namespace Core
