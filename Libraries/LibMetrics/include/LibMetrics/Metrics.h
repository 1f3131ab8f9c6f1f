#pragma once

#include <LibCore/Clock.h>

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Metrics {

/** A distribution of times from 10 microseconds to 100 seconds. */
class TimeHistogram
{
public:
  TimeHistogram();
  void Record(Core::Duration aTime);
  std::uint64_t Count() const { return count_; }
  /** The time that aShare (0 to 1) of the records do not exceed. */
  Core::Duration Quantile(double aShare) const;
  /** Appends lines in the Prometheus text format. */
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
 * The counters and histograms of one process. A name may carry labels, as in
 * "requests_total{outcome=\"ok\"}".
 */
class Registry
{
public:
  void Count(std::string_view aName, std::uint64_t aBy = 1);
  void Set(std::string_view aName, std::int64_t aValue);
  void Record(std::string_view aName, Core::Duration aTime);
  std::uint64_t CounterOf(std::string_view aName) const;
  /** Everything in the Prometheus text format. */
  std::string ToText() const;

private:
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, std::int64_t, std::less<>> gauges_;
  std::map<std::string, TimeHistogram, std::less<>> histograms_;
};

} // namespace Metrics
