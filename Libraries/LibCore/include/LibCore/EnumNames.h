#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace Core {

/** The names of an enum class's values, looked up in both directions. */
template<typename Enum, std::size_t N>
struct EnumNames
{
  std::array<std::pair<Enum, std::string_view>, N> entries;

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
