#pragma once

#include <LibCore/Clock.h>

namespace Admission {

/**
 * Finds how many statements of this node a database takes at once before their
 * time rises. Additive increase while the limit is used up and times are near
 * the lowest seen; multiplicative decrease when they are not, or when the
 * database refuses statements. If times stay high with the fewest statements,
 * load isn't the cause, and the present time becomes the new lowest. Begins
 * with few, so that the lowest time isn't learned under load.
 */
class ConcurrencyLimiter
{
public:
  explicit ConcurrencyLimiter(int aMax);

  void SetMax(int aMax);

  /**
   * A statement that was sent at aSentAt was answered. aDeviation is the
   * logarithm of the statement's time over the usual time of its kind; aRunning
   * is the number of statements of this node that were at the database, this
   * one included.
   */
  void ObserveAnswer(Core::Instant aNow,
                     Core::Instant aSentAt,
                     double aDeviation,
                     int aRunning);
  void ObserveRefusal(Core::Instant aNow);

  int Limit() const;
  int Max() const { return max_; }
  /** The limit is never lower, so that a database is never starved. */
  int Min() const;

private:
  struct Window
  {
    Core::Instant since{};
    int answers = 0;
    double deviations = 0;
    int mostRunning = 0;
    bool hasRefusal = false;
  };

  bool IsWindowOver(Core::Instant aNow) const;
  void EndWindow(Core::Instant aNow);
  void FollowLowest(double aDeviation);
  void Increase();
  void Decrease(Core::Instant aNow, double aFactor);

  int max_;
  double limit_;
  bool hasDecreased_ = false;
  Core::Instant decreasedAt_ = Core::Instant::min();
  bool hasLowest_ = false;
  /** The lowest mean deviation of a window; rises slowly. */
  double lowest_ = 0;
  Window window_;
};

} // namespace Admission
