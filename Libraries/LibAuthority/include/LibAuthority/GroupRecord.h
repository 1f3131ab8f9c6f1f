#pragma once

#include <LibCore/LastReason.h>
#include <LibSession/LogPosition.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Authority {

/** The end of a database's log at the moment of its promotion. */
struct TermStart
{
  Session::Term term = 0;
  std::uint64_t position = 0;
};

/** A change of primary that has begun and isn't over. */
struct PrimaryChange
{
  /** The database to promote; empty until one is chosen. */
  std::string candidate{};
  /**
   * The old primary is well, so that it leads on unless a replica holds its
   * whole log.
   */
  bool isVoluntary = false;
};

/** What the store holds of one group of databases: who leads it. */
struct GroupRecord
{
  std::string group;
  Session::Term term = 0;
  /** The id of the primary of `term`. */
  std::string primary;
  /** While set, nobody may use a primary of the group. */
  std::optional<PrimaryChange> change;
  /** The most recent terms' starts, oldest first. */
  std::vector<TermStart> starts;
  /** The version of the store's row that holds this. */
  std::uint64_t version = 0;

  /** Ends the change: aPrimary leads aTerm, whose log began at aPosition. */
  void Complete(std::string aPrimary,
                Session::Term aTerm,
                std::uint64_t aPosition);

  std::string ToText() const;
  /** Reads ToText's form; the version isn't part of it. */
  static std::optional<GroupRecord> Parse(std::string_view aGroup,
                                          std::string_view aText,
                                          Core::LastReason& aReason);
};

/**
 * aPosition without what later promotions rolled back. A primary that was
 * promoted with a shorter log lacks the end of the former term's log for ever,
 * so that a floor beyond it could never be reached.
 */
Session::LogPosition
ClampToTerms(Session::LogPosition aPosition,
             const std::vector<TermStart>& aStarts);

} // namespace Authority
