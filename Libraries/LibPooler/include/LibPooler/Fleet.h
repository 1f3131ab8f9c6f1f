#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>

#include <cstdint>
#include <map>
#include <string>

namespace Pooler {

/** What reads of a route must see. */
enum class Consistency
{
  /** All that was acknowledged before. */
  Strong,
  /** All that was acknowledged longer ago than the route's staleness. */
  BoundedStaleness,
  /** The same, and all that the session itself was told was done. */
  ReadYourWrites,
};

inline constexpr Core::EnumNames<Consistency, 3> kConsistencyNames{ {
  { { Consistency::Strong, "strong" },
    { Consistency::BoundedStaleness, "bounded_staleness" },
    { Consistency::ReadYourWrites, "read_your_writes" } },
} };

/** How the sessions of one database name are served. */
struct Route
{
  std::string name;
  std::string group;
  Consistency consistency = Consistency::Strong;
  Core::Duration maxStaleness{ 0 };
  /** Bounds one statement. */
  Core::Duration statementTimeout{ 0 };
  /** How soon a whole operation should be over. */
  Core::Duration targetLatency{ 0 };
  /** 0 is the most urgent. */
  int priority = 0;
};

/** The operators' configuration, whole. */
struct Configuration
{
  std::uint64_t version = 0;
  /** By the name that clients connect to. */
  std::map<std::string, Route, std::less<>> routes;
  /** Connections that each database of a group allows to all callers. */
  std::map<std::string, int, std::less<>> maxConnections;
  /** A transaction that rests longer may be rolled back; 0: never. */
  Core::Duration transactionIdleTimeout{ 0 };
};

/** One database as the platform lists it. */
struct Database
{
  std::string id;
  std::string group;
  std::string host;
  std::uint16_t port = 0;
  std::string dataCentre;
  int slots = 1;
  bool isLeaving = false;
  /** Unix milliseconds of its start; another start has another log. */
  std::int64_t startedAt = 0;
};
using DatabaseList = std::map<std::string, Database>;

} // namespace Pooler
