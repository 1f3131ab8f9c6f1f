#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Session {

/** Counts the changes of primary of one group; only rises. */
using Term = std::uint64_t;

/** A place in a group's log: entries since the start, in the log of a term. */
struct LogPosition
{
  /**
   * The term whose log the database holds. It becomes t only when the log
   * contains everything up to where t's primary was promoted.
   */
  Term term = 0;
  std::uint64_t position = 0;

  auto operator<=>(const LogPosition&) const = default;

  std::string ToText() const
  {
    return std::to_string(term) + ':' + std::to_string(position);
  }
};

/**
 * True when a log at aHeld contains everything confirmed up to aWanted.
 *
 * A later term's log contains what an earlier term had confirmed, whatever
 * the positions are; an earlier term's log proves nothing.
 */
constexpr bool
Covers(const LogPosition& aHeld, const LogPosition& aWanted)
{
  return aHeld >= aWanted;
}

} // namespace Session
