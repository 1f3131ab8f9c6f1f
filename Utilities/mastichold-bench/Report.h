#pragma once

#include "FailoverRun.h"
#include "LoadRun.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace Bench {

/** Formats a duration in milliseconds, rounded to one decimal. */
std::string
Milliseconds(Core::Duration aTime);

/** Returns the quantile aShare (0 to 1) of the values; 0 when empty. */
Core::Duration
QuantileOf(std::vector<Core::Duration> aValues, double aShare);

void
PrintLoad(const LoadResult& aResult, const std::string& aPreset);
boost::json::object
LoadToJson(const LoadResult& aResult, const std::string& aPreset);

void
PrintFailover(const std::vector<FailoverSample>& aSamples);
boost::json::array
FailoverToJson(const std::vector<FailoverSample>& aSamples);

} // namespace Bench
