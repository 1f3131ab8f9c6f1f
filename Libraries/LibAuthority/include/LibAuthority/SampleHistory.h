#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibCore/Clock.h>
#include <LibSession/LogPosition.h>

#include <deque>
#include <optional>

namespace Authority {

/**
 * What the primary's answers prove about the age of log positions.
 *
 * A statement sent to the primary at a time, with authority, and answered with
 * a position proves that all that was acknowledged before that time lies at or
 * below the position. A read that may be as old as a bound can therefore run
 * on any log that holds the position of a sample which is no older than that.
 */
class SampleHistory
{
public:
  struct Sample
  {
    Core::Instant sentAt;
    Session::LogPosition position;
  };

  /** A statement sent at aSentAt under authority was answered at aPosition. */
  void Add(Core::Instant aSentAt, const Session::LogPosition& aPosition);

  /** A new primary: positions that it rolled back are clamped. */
  void Clamp(const std::vector<TermStart>& aStarts);

  /**
   * The lowest position that a log needs so that a read at aNow sees all that
   * was acknowledged aBound before; none without a sample young enough.
   */
  std::optional<Session::LogPosition> FloorFor(Core::Instant aNow,
                                               Core::Duration aBound) const;

  std::optional<Sample> NewestSample() const;
  /** When the newest sample's statement was sent. */
  std::optional<Core::Instant> Newest() const;

private:
  /** Oldest first. */
  std::deque<Sample> samples_;
};

} // namespace Authority
