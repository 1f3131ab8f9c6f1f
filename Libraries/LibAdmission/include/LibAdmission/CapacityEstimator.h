#pragma once

#include <LibAdmission/ConcurrencyLimiter.h>
#include <LibAdmission/WorkTimes.h>

#include <memory>

namespace Admission {

/**
 * What one node has learned about one database: how slow it is compared with
 * the other databases of its group, and how many statements it takes at once.
 * All state is in memory. Without observations the estimate returns to that of
 * a database of usual speed.
 */
class CapacityEstimator
{
public:
  /** aTimes is shared by the databases of one group. */
  CapacityEstimator(std::shared_ptr<WorkTimes> aTimes, int aMaxConcurrency);

  /** The largest limit of concurrent statements, set by configuration. */
  void SetMaxConcurrency(int aMax) { limiter_.SetMax(aMax); }

  /**
   * A statement of kind aKind was answered aTime after it was sent, while
   * aRunning statements of this node (itself included) were at the database.
   */
  void ObserveAnswer(Core::Instant aNow,
                     std::string_view aKind,
                     Core::Duration aTime,
                     int aRunning);
  /** The database had no room for a statement and refused it. */
  void ObserveRefusal(Core::Instant aNow);
  /** An answer was lost, or an error took the place of an answer. */
  void ObserveFailure(Core::Instant aNow);

  /** Another node, which sees more of the database, reports its slowness. */
  void Adopt(Core::Instant aNow, double aSlowness);

  /** Its times divided by those of a database of usual speed. */
  double Slowness(Core::Instant aNow) const;
  /** The expected time from sending a statement to its answer. */
  Core::Duration StatementTime(Core::Instant aNow) const;
  /**
   * The expected time of a statement that begins to wait now, while aAhead
   * others of this node wait or run.
   */
  Core::Duration ExpectedTime(Core::Instant aNow, int aAhead) const;
  /** How many statements of this node may be at the database at once. */
  int ConcurrencyLimit() const { return limiter_.Limit(); }
  /** When a statement was last answered, refused or failed. */
  Core::Instant ObservedAt() const { return observedAt_; }

private:
  double WeightAt(Core::Instant aNow) const;
  double LogSlowness(Core::Instant aNow) const;
  void Learn(Core::Instant aNow, double aDeviation, double aWeight);

  std::shared_ptr<WorkTimes> times_;
  ConcurrencyLimiter limiter_;
  double logSlowness_ = 0;
  /** When the slowness was last learned or adopted. */
  Core::Instant learnedAt_ = Core::Instant::min();
  Core::Instant observedAt_ = Core::Instant::min();
};

} // namespace Admission
