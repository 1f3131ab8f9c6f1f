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
 * What one home knows of a group's databases from their answers: who leads,
 * what is confirmed, and how old each database's data can be at most.
 *
 * Only databases' own answers enter it, each with the time at which it was
 * asked for, so nothing here depends on clocks of other machines.
 */
class GroupBook
{
public:
  explicit GroupBook(std::vector<std::string> aDatabases);

  /** Changes the members; what is known of those that stay is kept. */
  void SetDatabases(std::vector<std::string> aDatabases);
  const std::vector<std::string>& Databases() const { return names_; }
  std::size_t Majority() const { return names_.size() / 2 + 1; }

  /** Takes an answer of aDatabase to a question sent at aRequestedAt. */
  void Take(const std::string& aDatabase,
            const DatabaseReport& aReport,
            Core::Instant aRequestedAt);

  /** The primary of the highest term seen; none while that term has none. */
  std::optional<std::string> Primary() const;
  /** The highest term seen in any answer. */
  Term HighestTerm() const { return highestTerm_; }

  /**
   * True when aRequired databases (0: a majority) have said that they hold
   * aPosition under its own term.
   */
  bool IsConfirmed(const LogPosition& aPosition,
                   std::size_t aRequired = 0) const;

  /**
   * The same, counting only answers to questions sent at aSince or later. A
   * look-up needs this: what it did not find may since have run under a
   * successor, whatever was confirmed before.
   */
  bool IsConfirmedSince(const LogPosition& aPosition,
                        Core::Instant aSince,
                        std::size_t aRequired = 0) const;

  /** True when a majority has promised a later term than aTerm. */
  bool IsReplaced(Term aTerm) const;

  /** The last report of aDatabase, or null. */
  const DatabaseReport* LastReport(const std::string& aDatabase) const;

  /**
   * A bound on the age of data at aPosition: the time since a moment at
   * which the primary, still unreplaced, had nothing beyond aPosition.
   */
  std::optional<Core::Duration> AgeOf(const LogPosition& aPosition,
                                      Core::Instant aNow) const;

private:
  struct Known
  {
    DatabaseReport last;
    Core::Instant lastAskedAt;
    /** The best place that it has confirmed; see IsConfirmed. */
    LogPosition confirmed;
    /** Identities that this database had before it lost its file. */
    std::set<std::string> retired;
  };
  /** At requestedAt the primary of log.term had reached at most log. */
  struct Sample
  {
    Core::Instant requestedAt;
    LogPosition log;
  };

  static void Retire(Known& aKnown);
  void AddSample(const Sample& aSample);
  void ThinSamples();
  /** Up to when a majority is known to have promised no term after aTerm. */
  std::optional<Core::Instant> LoyalSince(Term aTerm) const;

  std::vector<std::string> names_;
  std::map<std::string, Known> known_;
  std::deque<Sample> samples_;
  Term highestTerm_ = 0;
};

} // namespace Endpoint
