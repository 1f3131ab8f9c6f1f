#pragma once

#include "CallerClient.h"

#include <string>
#include <vector>

namespace Bench {

/** One kind of request of a deployment's mix. */
struct KindSpec
{
  std::string name;
  /** How many of a thousand requests are of the kind. */
  int perThousand = 0;
  /** What one answered request counts for. */
  int weight = 1;
  bool isWrite = false;
  /** A table with a "tag" column that its writes add a row to. */
  std::string insert;
  std::string select;
};

/** The request mix of a preset, "tasmania" or "quebec". */
const std::vector<KindSpec>&
MixOf(const std::string& aPreset);

/** The statements that count a tag's rows in the preset's written tables. */
std::vector<std::string>
TagCounts(const std::string& aPreset);

} // namespace Bench
