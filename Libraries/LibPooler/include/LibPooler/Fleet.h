#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Pooler {

/** Which acknowledged writes the reads of a route must see. */
enum class Consistency
{
  /** All writes acknowledged before the read. */
  Strong,
  /** All writes acknowledged longer ago than the route's maxStaleness. */
  BoundedStaleness,
  /**
   * Like BoundedStaleness, and additionally all writes that were acknowledged
   * to the session itself.
   */
  ReadYourWrites,
};

inline constexpr Core::EnumNames<Consistency, 3> kConsistencyNames{ {
  { { Consistency::Strong, "strong" },
    { Consistency::BoundedStaleness, "bounded_staleness" },
    { Consistency::ReadYourWrites, "read_your_writes" } },
} };

/** How sessions that connect to one database name are served. */
struct Route
{
  std::string name;
  std::string group;
  Consistency consistency = Consistency::Strong;
  Core::Duration maxStaleness{ 0 };
  /** The time limit of one statement. */
  Core::Duration statementTimeout{ 0 };
  /** The target duration of a complete operation. */
  Core::Duration targetLatency{ 0 };
  /** 0 is the highest priority. */
  int priority = 0;
  /** Clients need no key. */
  bool isPublic = false;
};

/** A customer's quota of operations, over all nodes together. */
struct RateLimit
{
  /** Operations a second, sustained. */
  double perSecond = 0;
  /** Operations that may come at once after a quiet time. */
  double burst = 0;
};

/** A customer, on whose behalf clients with one of its keys run statements. */
struct Customer
{
  std::string name;
  /** 0 is the highest priority. */
  int priority = 0;
  /** None: unlimited. */
  std::optional<RateLimit> limit;
};

/** What the configuration says of a group of databases. */
struct GroupSettings
{
  /** The connections that each database accepts from all callers together. */
  int maxConnections = 1;
  /**
   * How many replicas must have received a commit before the primary
   * acknowledges it. 0: a promotion may lose acknowledged commits.
   */
  int syncReplicas = 0;
};
using GroupSettingsMap = std::map<std::string, GroupSettings, std::less<>>;

/** The complete configuration set by the operators. */
struct Configuration
{
  std::uint64_t version = 0;
  /** Keyed by the database name that clients connect to. */
  std::map<std::string, Route, std::less<>> routes;
  GroupSettingsMap groups;
  /** A transaction idle for longer may be rolled back; 0: never. */
  Core::Duration transactionIdleTimeout{ 0 };
  /** True if clients must present a key of a customer. */
  bool requiresKeys = false;
  /** By name. */
  std::map<std::string, Customer, std::less<>> customers;
  /**
   * The names of the customers, by key. Keys are secret: they must not reach a
   * log, a metric, an error text, a peer or a database.
   */
  std::map<std::string, std::string, std::less<>> customerOfKey;
};

/** One database as listed by the platform. */
struct Database
{
  std::string id;
  std::string group;
  std::string host;
  std::uint16_t port = 0;
  std::string dataCentre;
  /** The number of statements that the database runs at once. */
  int slots = 1;
  bool isLeaving = false;
  /** When this process learned that the database is leaving. */
  Core::Instant leavingSince{};
  /** Start time in Unix milliseconds; each start has a different log. */
  std::int64_t startedAt = 0;
};
using DatabaseList = std::map<std::string, Database>;

} // namespace Pooler
