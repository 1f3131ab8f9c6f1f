#pragma once

#include <LibCore/LastReason.h>
#include <LibSession/LogPosition.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Session {

/**
 * The log positions that a session has seen: one per group, which the
 * session's next read must cover. Callers pass it on as opaque text, which has
 * a version and a checksum.
 */
class SessionToken
{
public:
  /** Decodes a token. Returns std::nullopt and sets aReason if invalid. */
  static std::optional<SessionToken> Decode(std::string_view aText,
                                            Core::LastReason& aReason);
  std::string Encode() const;

  /** The position to cover in aGroup; the lowest one if none was seen. */
  LogPosition PositionOf(const std::string& aGroup) const;

  /** Raises aGroup's position to aPosition; never lowers it. */
  void Raise(const std::string& aGroup, const LogPosition& aPosition);

  bool IsEmpty() const { return positions_.empty(); }

private:
  std::map<std::string, LogPosition> positions_;
};

} // namespace Session
