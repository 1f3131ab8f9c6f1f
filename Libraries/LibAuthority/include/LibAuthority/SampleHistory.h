#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>
#include <LibSession/LogPosition.h>

#include <deque>
#include <optional>

namespace Authority {

/**
 * Samples of the primary's log position over time, for bounded staleness.
 *
 * If a statement is sent to the primary while this node has authority, and the
 * reply carries a log position, then every commit acknowledged before the send
 * time is at or below that position. A read with a staleness bound can
 * therefore run on any database that has applied the position of a sample that
 * is no older than the bound.
 */
class SampleHistory
{
public:
  struct Sample
  {
    Core::Instant sentAt;
    Session::LogPosition position;
  };

  /**
   * Adds the position of the reply to a statement that was sent at aSentAt with
   * authority. Drops samples that are too close to the previous one or too old.
   */
  void Add(Core::Instant aSentAt, const Session::LogPosition& aPosition);

  /** Applies ClampToTerms to all samples; to be called after a promotion. */
  void Clamp(const std::vector<TermStart>& aStarts);

  /**
   * Returns the lowest log position with which a read at aNow sees every commit
   * acknowledged before aNow - aBound; none if all samples are older than that.
   */
  std::optional<Session::LogPosition> FloorFor(Core::Instant aNow,
                                               Core::Duration aBound) const;

  std::optional<Sample> NewestSample() const;
  /** The send time of the newest sample's statement. */
  std::optional<Core::Instant> Newest() const;

private:
  /** Oldest first. */
  std::deque<Sample> samples_;
};

} // namespace Authority
