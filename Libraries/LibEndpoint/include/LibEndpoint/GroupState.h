#pragma once

#include <LibCore/Clock.h>
#include <LibEndpoint/DatabaseReport.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Endpoint {

/**
 * The state of a group's databases as their reports show it: which one is
 * primary, which log positions are confirmed, and an upper bound on the age of
 * each database's data.
 *
 * All input is reports of the databases themselves, each with the local time
 * at which it was requested, so nothing depends on the clocks of other
 * machines.
 */
class GroupState
{
public:
  explicit GroupState(std::vector<std::string> aDatabases);

  /** Replaces the members; the state of those that remain is kept. */
  void SetDatabases(std::vector<std::string> aDatabases);
  const std::vector<std::string>& Databases() const { return names_; }
  std::size_t Majority() const { return names_.size() / 2 + 1; }

  /** Adds a report of aDatabase to a request sent at aRequestedAt. */
  void Take(const std::string& aDatabase,
            const DatabaseReport& aReport,
            Core::Instant aRequestedAt);

  /** The primary of HighestTerm(); std::nullopt while that term has none. */
  std::optional<std::string> Primary() const;
  /** The highest term that any database has reported as promised. */
  Term HighestTerm() const { return highestTerm_; }

  /**
   * True if at least aRequired databases (0: a majority) have reported a log
   * of aPosition's term that contains aPosition.
   */
  bool IsConfirmed(const LogPosition& aPosition,
                   std::size_t aRequired = 0) const;

  /**
   * As IsConfirmed, but counts only the latest reports, and only those that
   * were requested at aSince or later. A look-up requires this: a request that
   * it did not find may since have run under a successor of the primary, even
   * if the position was confirmed earlier.
   */
  bool IsConfirmedSince(const LogPosition& aPosition,
                        Core::Instant aSince,
                        std::size_t aRequired = 0) const;

  /** True if a majority has promised a later term than aTerm. */
  bool IsReplaced(Term aTerm) const;

  /** The latest report of aDatabase; null if there is none. */
  const DatabaseReport* LastReport(const std::string& aDatabase) const;

  /**
   * An upper bound on the age of data at aPosition: the time since an instant
   * at which the primary had not been replaced and had nothing beyond
   * aPosition. std::nullopt if no such instant is known.
   */
  std::optional<Core::Duration> AgeOf(const LogPosition& aPosition,
                                      Core::Instant aNow) const;

private:
  struct DatabaseState
  {
    DatabaseReport last;
    Core::Instant lastRequestedAt;
    /** The highest position that it has confirmed; see IsConfirmed. */
    LogPosition confirmed;
    /** The identities that the database had before it lost its file. */
    std::set<std::string> lostIdentities;
  };
  /** At requestedAt, the log of the primary of log.term did not exceed log. */
  struct Sample
  {
    Core::Instant requestedAt;
    LogPosition log;
  };

  /** Discards all state but the lost identities, and adds the last one. */
  static void ResetForNewIdentity(DatabaseState& aState);
  void AddSample(const Sample& aSample);
  void ThinSamples();
  /**
   * The latest instant until which a majority is known to have promised no
   * later term than aTerm.
   */
  std::optional<Core::Instant> UnreplacedUntil(Term aTerm) const;

  std::vector<std::string> names_;
  std::map<std::string, DatabaseState> states_;
  std::deque<Sample> samples_;
  Term highestTerm_ = 0;
};

} // namespace Endpoint
