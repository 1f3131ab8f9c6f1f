#pragma once

#include <LibCore/LastReason.h>
#include <LibSession/LogPosition.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Session {

/**
 * What a session has seen: for each group, the log position that its next
 * read must cover. Callers carry it as opaque text with a version and a
 * checksum.
 */
class SessionToken
{
public:
  /** Reads a token's text; std::nullopt when it is damaged or not ours. */
  static std::optional<SessionToken> Decode(std::string_view aText,
                                            Core::LastReason& aReason);
  std::string Encode() const;

  /** The position to cover in aGroup; the lowest one when none was seen. */
  LogPosition PositionOf(const std::string& aGroup) const;

  /** Raises aGroup's position to aPosition; never lowers it. */
  void Raise(const std::string& aGroup, const LogPosition& aPosition);

  bool IsEmpty() const { return positions_.empty(); }

private:
  std::map<std::string, LogPosition> positions_;
};

} // namespace Session
