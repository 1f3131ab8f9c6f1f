#include "Report.h"

#include <LibCore/Table.h>

#include <algorithm>
#include <cmath>
#include <iostream>

namespace Bench {

namespace {

/** Samples of one kind of loss, with the store up or down. */
struct SampleSet
{
  LossKind kind;
  bool isStoreDown;
  std::vector<Core::Duration> gaps;
  int never = 0;
};

std::vector<SampleSet>
Sets(const std::vector<FailoverSample>& aSamples)
{
  std::vector<SampleSet> sets;
  for (const FailoverSample& sample : aSamples) {
    auto found =
      std::find_if(sets.begin(), sets.end(), [&sample](const SampleSet& aSet) {
        return aSet.kind == sample.kind &&
               aSet.isStoreDown == sample.isStoreDown;
      });
    if (found == sets.end()) {
      sets.push_back({ sample.kind, sample.isStoreDown, {}, 0 });
      found = sets.end() - 1;
    }
    if (sample.gap)
      found->gaps.push_back(*sample.gap);
    else
      ++found->never;
  }
  return sets;
}

} // namespace

std::string
Milliseconds(Core::Duration aTime)
{
  const std::string tenths = std::to_string((aTime.count() + 50) / 100 % 10);
  return std::to_string((aTime.count() + 50) / 1000) + '.' + tenths;
}

Core::Duration
QuantileOf(std::vector<Core::Duration> aValues, double aShare)
{
  if (aValues.empty())
    return Core::Duration::zero();
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::lround(aShare * last))];
}

void
PrintLoad(const LoadResult& aResult, const std::string& aPreset)
{
  std::vector<std::vector<std::string>> rows{
    { "kind", "sent", "ok", "not run", "p50 ms", "p99 ms" }
  };
  for (const auto& [name, kind] : aResult.kinds)
    rows.push_back({ name,
                     std::to_string(kind.sent),
                     std::to_string(kind.ok),
                     std::to_string(kind.notRun),
                     Milliseconds(kind.time.Quantile(0.5)),
                     Milliseconds(kind.time.Quantile(0.99)) });
  Core::PrintTable(rows);
  std::cout << "answers " << aResult.responses << ", replica share of reads "
            << static_cast<int>(aResult.ReplicaShare() * 1000) / 10.0
            << "%, weighted service "
            << static_cast<long long>(aResult.WeightedService(aPreset))
            << ", unsettled " << aResult.unsettled << '\n';
  for (const std::string& violation : aResult.violations)
    std::cout << "WRONG: " << violation << '\n';
  std::cout << (aResult.violations.empty() ? "nothing wrong\n" : "");
}

boost::json::object
LoadToJson(const LoadResult& aResult, const std::string& aPreset)
{
  boost::json::object kinds;
  for (const auto& [name, kind] : aResult.kinds)
    kinds[name] =
      boost::json::object{ { "sent", kind.sent },
                           { "ok", kind.ok },
                           { "not_run", kind.notRun },
                           { "p50_us", kind.time.Quantile(0.5).count() },
                           { "p99_us", kind.time.Quantile(0.99).count() } };
  boost::json::array violations;
  for (const std::string& text : aResult.violations)
    violations.emplace_back(text);
  return { { "kinds", std::move(kinds) },
           { "answers", aResult.responses },
           { "replica_share", aResult.ReplicaShare() },
           { "weighted_service", aResult.WeightedService(aPreset) },
           { "unsettled", aResult.unsettled },
           { "wrong", std::move(violations) } };
}

void
PrintFailover(const std::vector<FailoverSample>& aSamples)
{
  std::vector<std::vector<std::string>> rows{
    { "loss", "store", "rounds", "median ms", "worst ms", "never" }
  };
  for (const SampleSet& set : Sets(aSamples))
    rows.push_back({ std::string(kLossKindNames.NameOf(set.kind)),
                     set.isStoreDown ? "down" : "up",
                     std::to_string(set.gaps.size()),
                     Milliseconds(QuantileOf(set.gaps, 0.5)),
                     Milliseconds(QuantileOf(set.gaps, 1.0)),
                     std::to_string(set.never) });
  Core::PrintTable(rows);
}

boost::json::array
FailoverToJson(const std::vector<FailoverSample>& aSamples)
{
  boost::json::array sets;
  for (const SampleSet& set : Sets(aSamples)) {
    boost::json::array gaps;
    for (const Core::Duration gap : set.gaps)
      gaps.push_back(gap.count());
    sets.push_back(
      boost::json::object{ { "loss", kLossKindNames.NameOf(set.kind) },
                           { "store_down", set.isStoreDown },
                           { "gaps_us", std::move(gaps) },
                           { "never", set.never } });
  }
  return sets;
}

} // namespace Bench
