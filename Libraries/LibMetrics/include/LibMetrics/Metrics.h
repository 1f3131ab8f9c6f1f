#pragma once

#include <LibCore/Clock.h>

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Metrics {

/**
 * A histogram of durations from 10 microseconds to 100 seconds, with
 * logarithmic bins.
 */
class TimeHistogram
{
public:
  TimeHistogram();
  void Record(Core::Duration aTime);
  std::uint64_t Count() const { return count_; }
  /**
   * Returns the aQuantile (0 to 1) of the recorded durations, rounded up to the
   * upper bound of its bin.
   */
  Core::Duration Quantile(double aQuantile) const;
  /** Appends a summary to aText in the Prometheus text format. */
  void Write(std::string_view aName, std::string& aText) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram_;
  std::uint64_t count_ = 0;
  double sumMicroseconds_ = 0;
};

/**
 * The counters, gauges and histograms of one process. A name may include
 * labels, as in "requests_total{outcome=\"ok\"}".
 */
class Registry
{
public:
  /** Increments a counter. */
  void Count(std::string_view aName, std::uint64_t aIncrement = 1);
  /** Sets a gauge. */
  void Set(std::string_view aName, std::int64_t aValue);
  /** Adds a duration to a histogram. */
  void Record(std::string_view aName, Core::Duration aTime);
  /** Returns the value of a counter; 0 if it was never incremented. */
  std::uint64_t CounterOf(std::string_view aName) const;
  /** Returns all metrics in the Prometheus text format. */
  std::string ToText() const;

private:
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, std::int64_t, std::less<>> gauges_;
  std::map<std::string, TimeHistogram, std::less<>> histograms_;
};

} // namespace Metrics
