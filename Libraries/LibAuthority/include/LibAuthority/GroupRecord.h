#pragma once

#include <LibAuthority/StoreVersion.h>
#include <LibCore/LastReason.h>
#include <LibSession/LogPosition.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Authority {

/** The start of a term: the end of the new primary's log at its promotion. */
struct TermStart
{
  Session::Term term = 0;
  std::uint64_t position = 0;
};

/** A change of primary that is in progress. */
struct PrimaryChange
{
  /** The database to promote; empty until one is chosen. */
  std::string candidate{};
  /**
   * The old primary is healthy but overloaded. It stays primary unless a
   * replica has received its complete log.
   */
  bool isSwitchover = false;
};

/** A process of a database that may hold acknowledged commits. */
struct LogHolder
{
  /** The database's id. */
  std::string id;
  /** The process's start in Unix milliseconds; a later one may lack commits. */
  std::int64_t startedAt = 0;

  bool operator==(const LogHolder&) const = default;
};

/** The store's record of which database is the primary of a group. */
struct GroupRecord
{
  std::string group;
  Session::Term term = 0;
  /** The id of the database that is the primary in `term`. */
  std::string primary;
  /** While set, no node may use a primary of the group. */
  std::optional<PrimaryChange> change;
  /** The starts of the most recent terms, oldest first. */
  std::vector<TermStart> starts;
  /** The version of the store row that holds this record. */
  std::uint64_t version = 0;
  /**
   * The version of the row that this record replaced. It orders the contents of
   * a group's records, also if the store is restored from a copy, which gives
   * an old content a new version. 0 in records of earlier releases.
   */
  std::uint64_t basis = 0;

  /**
   * True if the row has since been overwritten with something that can't be
   * read. `version` is that of the overwritten row, so that the record can be
   * written again. Not stored.
   */
  bool isOverwritten = false;

  /**
   * How many replicas must have received a commit before the primary
   * acknowledges it, when this record was written.
   */
  int syncReplicas = 0;
  /**
   * Each acknowledged commit is held by the primary and as many others of these
   * as `syncReplicas` says. Empty without synchronous replicas.
   */
  std::vector<LogHolder> logHolders{};

  /**
   * True if this record was written in the era in which it was read. Otherwise,
   * and if it has been overwritten, the store may have lost newer records.
   */
  bool IsOfCurrentEra() const
  {
    return !isOverwritten && StoreEraOf(basis) == StoreEraOf(version);
  }

  /**
   * True if this record's content was written after aOther's. The versions show
   * that, unless a restored store has brought one of the contents back.
   */
  bool IsNewerThan(const GroupRecord& aOther) const;

  /**
   * Ends the change: makes aPrimary the primary of aTerm, whose log begins at
   * aPosition.
   */
  void Complete(std::string aPrimary,
                Session::Term aTerm,
                std::uint64_t aPosition);

  /** Serializes all fields but the group's name and the version as JSON. */
  std::string ToText() const;
  /** Parses the output of ToText. Sets aReason on an error. */
  static std::optional<GroupRecord> Parse(std::string_view aGroup,
                                          std::string_view aText,
                                          Core::LastReason& aReason);
};

/**
 * Limits aPosition to the part of the log that later terms have kept. A replica
 * that is promoted with a shorter log than the old primary's never receives the
 * rest of that log. A floor in that rest could never be reached.
 */
Session::LogPosition
ClampToTerms(Session::LogPosition aPosition,
             const std::vector<TermStart>& aStarts);

} // namespace Authority
