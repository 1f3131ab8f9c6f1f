#pragma once

#include "CallerClient.h"

#include <string>
#include <vector>

namespace Bench {

/** One kind of request of a deployment's request mix. */
struct RequestKind
{
  std::string name;
  /** Number of requests of this kind per thousand requests. */
  int perThousand = 0;
  /** Weight of one successful request in the weighted service. */
  int weight = 1;
  bool isWrite = false;
  /** Inserts one row whose key column holds the request id. */
  std::string insert;
  std::string select;
};

/** Returns the request mix of a preset, "tasmania" or "quebec". */
const std::vector<RequestKind>&
RequestMixOf(const std::string& aPreset);

/** Returns the queries that count the rows per request id in each table. */
std::vector<std::string>
RowCountQueries(const std::string& aPreset);

} // namespace Bench
