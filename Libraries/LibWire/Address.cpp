#include <LibWire/Address.h>

#include <arpa/inet.h>

#include <charconv>

namespace Wire {

namespace {

/** Reasons go to the log, whatever the length of the text. */
constexpr std::size_t kMaxQuotedLength = 60;

} // namespace

std::optional<Address>
Address::Parse(std::string_view aText, Core::LastReason& aReason)
{
  const bool isLong = aText.size() > kMaxQuotedLength;
  const std::string quoted = '"' +
                             std::string(aText.substr(0, kMaxQuotedLength)) +
                             (isLong ? "...\"" : "\"");
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos)
    return aReason.Set(quoted + " has no port; write ip:port");

  Address address;
  address.host = aText.substr(0, colon);
  in_addr number{};
  if (inet_pton(AF_INET, address.host.c_str(), &number) != 1)
    return aReason.Set(quoted + " does not start with an IPv4 address");

  const std::string_view port = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc{} || end != port.data() + port.size())
    return aReason.Set(quoted + " has no port between 0 and 65535");
  return address;
}

} // namespace Wire
