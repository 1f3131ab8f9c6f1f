#pragma once

#include <cstdint>
#include <string_view>

namespace Core {

/** FNV-1a with a final mixing step. Equal on all machines and in all runs. */
std::uint64_t
StableHash(std::string_view aText);

} // namespace Core
