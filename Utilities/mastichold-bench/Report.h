#pragma once

#include "FailoverRun.h"
#include "LoadRun.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace Bench {

std::string
Milliseconds(Core::Duration aTime);

/** The value that aShare of the sorted values do not exceed. */
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
