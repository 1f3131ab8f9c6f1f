#include <LibSession/SessionToken.h>

#include <boost/algorithm/hex.hpp>
#include <boost/crc.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace Session {

namespace {

constexpr std::string_view kVersionPrefix = "m1.";
/** Long enough for dozens of groups, short enough for a header. */
constexpr std::size_t kLongestToken = 8192;
constexpr std::size_t kChecksumDigits = 8;

std::string
Checksum(std::string_view aText)
{
  boost::crc_32_type crc;
  crc.process_bytes(aText.data(), aText.size());
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(kChecksumDigits, '0');
  std::uint32_t value = crc.checksum();
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[value & 0xFU];
    value >>= 4U;
  }
  return text;
}

template<typename Number>
bool
TakeNumber(std::string_view& aText, char aEnd, Number& aResult)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, aResult);
  if (error != std::errc{} || stop == end || *stop != aEnd)
    return false;
  aText.remove_prefix(static_cast<std::size_t>(stop - aText.data()) + 1);
  return true;
}

} // namespace

std::optional<SessionToken>
SessionToken::Decode(std::string_view aText, Core::LastReason& aReason)
{
  if (!aText.starts_with(kVersionPrefix))
    return aReason.Set("is not a token of a version that is known here");
  if (aText.size() > kLongestToken ||
      aText.size() < kVersionPrefix.size() + kChecksumDigits)
    return aReason.Set("is damaged: its length is wrong");
  const std::string_view signedPart =
    aText.substr(0, aText.size() - kChecksumDigits);
  if (Checksum(signedPart) != aText.substr(signedPart.size()))
    return aReason.Set("is damaged: its checksum does not fit");

  std::string payload;
  try {
    boost::algorithm::unhex(signedPart.substr(kVersionPrefix.size()),
                            std::back_inserter(payload));
  } catch (const boost::algorithm::hex_decode_error&) {
    return aReason.Set("is damaged: it is not hexadecimal");
  }
  // The payload is "group=term:position;" once a group.
  SessionToken token;
  std::string_view rest = payload;
  while (!rest.empty()) {
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos)
      return aReason.Set("is damaged: a group has no position");
    const std::string group(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    LogPosition position;
    if (!TakeNumber(rest, ':', position.term) ||
        !TakeNumber(rest, ';', position.position))
      return aReason.Set("is damaged: a position is not a number");
    token.positions_[group] = position;
  }
  return token;
}

std::string
SessionToken::Encode() const
{
  std::string payload;
  for (const auto& [group, position] : positions_)
    payload += group + '=' + position.ToText() + ';';
  std::string text(kVersionPrefix);
  boost::algorithm::hex_lower(payload, std::back_inserter(text));
  return text + Checksum(text);
}

LogPosition
SessionToken::PositionOf(const std::string& aGroup) const
{
  const auto found = positions_.find(aGroup);
  return found == positions_.end() ? LogPosition{} : found->second;
}

void
SessionToken::Raise(const std::string& aGroup, const LogPosition& aPosition)
{
  LogPosition& held = positions_[aGroup];
  held = std::max(held, aPosition);
}

} // namespace Session
