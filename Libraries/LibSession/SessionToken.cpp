#include <LibSession/SessionToken.h>

#include <boost/algorithm/hex.hpp>
#include <boost/crc.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace Session {

namespace {

constexpr std::string_view kVersionPrefix = "m1.";
/** Enough for dozens of groups, and small enough for an HTTP header. */
constexpr std::size_t kMaxTokenLength = 8192;
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

/** Reads a number that ends in aEnd and removes both from aText. */
template<typename Number>
bool
ReadNumber(std::string_view& aText, char aEnd, Number& aResult)
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
    return aReason.Set("is not a token, or is of an unknown version");
  if (aText.size() > kMaxTokenLength ||
      aText.size() < kVersionPrefix.size() + kChecksumDigits)
    return aReason.Set("is damaged: its length is wrong");
  const std::string_view checkedPart =
    aText.substr(0, aText.size() - kChecksumDigits);
  if (Checksum(checkedPart) != aText.substr(checkedPart.size()))
    return aReason.Set("is damaged: its checksum does not match");

  std::string payload;
  try {
    boost::algorithm::unhex(checkedPart.substr(kVersionPrefix.size()),
                            std::back_inserter(payload));
  } catch (const boost::algorithm::hex_decode_error&) {
    return aReason.Set("is damaged: it is not hexadecimal");
  }
  // The payload is "group=term:position;" for each group.
  SessionToken token;
  std::string_view remaining = payload;
  while (!remaining.empty()) {
    const std::size_t equals = remaining.find('=');
    if (equals == std::string_view::npos)
      return aReason.Set("is damaged: a group has no position");
    const std::string group(remaining.substr(0, equals));
    remaining.remove_prefix(equals + 1);
    LogPosition position;
    if (!ReadNumber(remaining, ':', position.term) ||
        !ReadNumber(remaining, ';', position.position))
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
  LogPosition& current = positions_[aGroup];
  current = std::max(current, aPosition);
}

} // namespace Session
