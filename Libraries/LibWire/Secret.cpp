#include <LibWire/Secret.h>

namespace Wire {

bool
IsBearerOf(std::string_view aAuthorization, std::string_view aSecret)
{
  constexpr std::string_view kPrefix = "Bearer ";
  if (aSecret.empty() || !aAuthorization.starts_with(kPrefix))
    return false;
  const std::string_view given = aAuthorization.substr(kPrefix.size());
  unsigned difference = given.size() == aSecret.size() ? 0U : 1U;
  for (std::size_t i = 0; i < given.size(); ++i) {
    const char expected = aSecret[i % aSecret.size()];
    difference |= static_cast<unsigned char>(given[i] ^ expected);
  }
  return difference == 0;
}

} // namespace Wire
