#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Session {

/**
 * Identifies the period of one primary of a group. Each new primary has a
 * higher term than all earlier ones; terms may be skipped.
 */
using Term = std::uint64_t;

/** A position in a group's log: a term and the number of entries so far. */
struct LogPosition
{
  /**
   * The term of the log. A database's log is of term t only if it contains
   * everything up to the position at which t's primary was promoted.
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
 * True if a log at aHeld contains everything confirmed up to aRequired.
 *
 * The log of a later term contains everything that an earlier term confirmed,
 * whatever the positions are. The log of an earlier term may lack entries.
 */
constexpr bool
Covers(const LogPosition& aHeld, const LogPosition& aRequired)
{
  return aHeld >= aRequired;
}

} // namespace Session
