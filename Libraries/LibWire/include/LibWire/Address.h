#pragma once

#include <LibCore/LastReason.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Wire {

/** An IPv4 address and a port, written "127.0.0.1:8080". */
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  /** Parses "ip:port". Host names are rejected, as there is no resolver. */
  static std::optional<Address> Parse(std::string_view aText,
                                      Core::LastReason& aReason);

  std::string ToText() const { return host + ':' + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

} // namespace Wire
