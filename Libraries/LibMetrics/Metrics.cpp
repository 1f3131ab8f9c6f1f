#include <LibMetrics/Metrics.h>

#include <algorithm>
#include <cmath>

namespace Metrics {

namespace {

constexpr int kBinCount = 140;
constexpr double kMinMicroseconds = 10;
constexpr double kMaxMicroseconds = 1e8;
constexpr double kReportedQuantiles[] = { 0.5, 0.9, 0.99 };

/** Adds a label to "name" or "name{labels}". */
std::string
WithLabel(std::string_view aName, const std::string& aLabel)
{
  const std::size_t brace = aName.find('{');
  if (brace == std::string_view::npos)
    return std::string(aName) + '{' + aLabel + '}';
  std::string text(aName.substr(0, aName.size() - 1));
  return text + ',' + aLabel + '}';
}

/** Turns "name{labels}" into "name_suffix{labels}". */
std::string
WithSuffix(std::string_view aName, std::string_view aSuffix)
{
  const std::size_t brace = std::min(aName.find('{'), aName.size());
  return std::string(aName.substr(0, brace)) + std::string(aSuffix) +
         std::string(aName.substr(brace));
}

} // namespace

TimeHistogram::TimeHistogram()
  : histogram_(std::make_tuple(
      Axis(kBinCount, kMinMicroseconds, kMaxMicroseconds, "microseconds")))
{
}

void
TimeHistogram::Record(Core::Duration aTime)
{
  const auto value = static_cast<double>(aTime.count());
  histogram_(std::max(value, kMinMicroseconds));
  sumMicroseconds_ += value;
  ++count_;
}

Core::Duration
TimeHistogram::Quantile(double aQuantile) const
{
  const double targetCount = aQuantile * static_cast<double>(count_);
  double cumulativeCount = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_)) {
    cumulativeCount += static_cast<double>(*bin);
    if (cumulativeCount >= targetCount)
      return Core::Duration(std::llround(bin.bin().upper()));
  }
  return Core::Duration(std::llround(kMaxMicroseconds));
}

void
TimeHistogram::Write(std::string_view aName, std::string& aText) const
{
  for (double quantile : kReportedQuantiles) {
    const std::string label =
      "quantile=\"" + std::to_string(quantile).substr(0, 4) + '"';
    const double seconds =
      static_cast<double>(Quantile(quantile).count()) / 1e6;
    aText += WithLabel(aName, label) + ' ' + std::to_string(seconds) + '\n';
  }
  aText += WithSuffix(aName, "_sum") + ' ' +
           std::to_string(sumMicroseconds_ / 1e6) + '\n';
  aText += WithSuffix(aName, "_count") + ' ' + std::to_string(count_) + '\n';
}

void
Registry::Count(std::string_view aName, std::uint64_t aIncrement)
{
  const auto found = counters_.find(aName);
  if (found != counters_.end())
    found->second += aIncrement;
  else
    counters_.emplace(aName, aIncrement);
}

void
Registry::Set(std::string_view aName, std::int64_t aValue)
{
  const auto found = gauges_.find(aName);
  if (found != gauges_.end())
    found->second = aValue;
  else
    gauges_.emplace(aName, aValue);
}

void
Registry::Record(std::string_view aName, Core::Duration aTime)
{
  auto found = histograms_.find(aName);
  if (found == histograms_.end())
    found = histograms_.try_emplace(std::string(aName)).first;
  found->second.Record(aTime);
}

std::uint64_t
Registry::CounterOf(std::string_view aName) const
{
  const auto found = counters_.find(aName);
  return found == counters_.end() ? 0 : found->second;
}

std::string
Registry::ToText() const
{
  std::string text;
  for (const auto& [name, value] : counters_)
    text += name + ' ' + std::to_string(value) + '\n';
  for (const auto& [name, value] : gauges_)
    text += name + ' ' + std::to_string(value) + '\n';
  for (const auto& [name, histogram] : histograms_)
    histogram.Write(name, text);
  return text;
}

} // namespace Metrics
