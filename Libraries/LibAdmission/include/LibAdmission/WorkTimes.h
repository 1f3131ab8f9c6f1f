#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Admission {

/**
 * The usual time of each kind of work, over all databases of one group. Lets a
 * database's times be compared although statements of different kinds take
 * different times. Times are held as logarithms of microseconds, since they
 * are distributed roughly log-normally.
 */
class WorkTimes
{
public:
  /** Kinds beyond this number share one entry. */
  static constexpr std::size_t kMaxKinds = 256;

  /**
   * Learns from one statement and returns its deviation: the logarithm of its
   * time over the usual time of its kind. aLogSlowness is what is known of the
   * database that ran it, so that a slow database doesn't make a kind of work
   * look heavy.
   */
  double Observe(std::string_view aKind,
                 Core::Duration aTime,
                 double aLogSlowness);

  /** The mean time of a statement at a database of usual speed. */
  Core::Duration MeanTime() const;

private:
  struct Usual
  {
    double logTime = 0;
    std::size_t observations = 0;
  };

  Usual& EntryOf(std::string_view aKind);
  void ObserveMean(double aMicroseconds);

  std::map<std::string, Usual, std::less<>> kinds_;
  double meanMicroseconds_ = 0;
};

} // namespace Admission
