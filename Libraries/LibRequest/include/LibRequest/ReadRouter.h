#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibSession/LogPosition.h>

#include <optional>
#include <string>
#include <vector>

namespace Request {

using Session::LogPosition;

/** How a database is chosen for a read. */
enum class ReadPolicy
{
  /** Of those that may serve it, the one with the least expected wait. */
  LeastWait,
  PrimaryOnly,
  RoundRobin,
  LeastConnections,
};

inline constexpr Core::EnumNames<ReadPolicy, 4> kReadPolicyNames{ {
  { { ReadPolicy::LeastWait, "least_wait" },
    { ReadPolicy::PrimaryOnly, "primary_only" },
    { ReadPolicy::RoundRobin, "round_robin" },
    { ReadPolicy::LeastConnections, "least_connections" } },
} };

/** A database that might serve a read, as its home estimates it. */
struct ReadCandidate
{
  std::string name;
  bool isPrimary = false;
  bool isLeaving = false;
  /** True when the home stands in the same data centre. */
  bool isNear = false;
  /** False while it does not answer. */
  bool isReachable = true;
  LogPosition position;
  /** Absent while no bound is proven. */
  std::optional<Core::Duration> age;
  Core::Duration expectedWait{ 0 };
  std::size_t connections = 0;
};

struct ReadNeeds
{
  /** The position that the session must see. */
  LogPosition token;
  /** Zero when only the primary's data will do. */
  Core::Duration maxAge{ 0 };
};

/** Chooses databases for reads from estimates; answers are checked later. */
class ReadRouter
{
public:
  explicit ReadRouter(ReadPolicy aPolicy = ReadPolicy::LeastWait)
    : policy_(aPolicy)
  {
  }
  void SetPolicy(ReadPolicy aPolicy) { policy_ = aPolicy; }

  /** The database to read from; absent while there is none. */
  std::optional<std::string> Choose(
    const std::vector<ReadCandidate>& aCandidates,
    const ReadNeeds& aNeeds);

  /** True when an answer from aPosition, of this age, may be given. */
  static bool Satisfies(const ReadNeeds& aNeeds,
                        const LogPosition& aPosition,
                        const std::optional<Core::Duration>& aAge);

private:
  const ReadCandidate* Best(const std::vector<const ReadCandidate*>& aFit);

  ReadPolicy policy_;
  std::size_t turn_ = 0;
};

} // namespace Request
