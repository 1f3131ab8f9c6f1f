#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace Core {

/** Maps the values of an enum class to names and back. */
template<typename Enum, std::size_t N>
struct EnumNames
{
  std::array<std::pair<Enum, std::string_view>, N> entries;

  /** Returns "unknown" for a value without an entry. */
  constexpr std::string_view NameOf(Enum aValue) const
  {
    for (const auto& [value, name] : entries) {
      if (value == aValue)
        return name;
    }
    return "unknown";
  }

  constexpr std::optional<Enum> ValueOf(std::string_view aName) const
  {
    for (const auto& [value, name] : entries) {
      if (name == aName)
        return value;
    }
    return std::nullopt;
  }
};

} // namespace Core
