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
  /** Of the eligible databases, the one with the least expected wait. */
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

/**
 * A database of the group and its state, as estimated by the home, the node
 * that serves the group.
 */
struct ReadCandidate
{
  std::string name;
  bool isPrimary = false;
  bool isLeaving = false;
  /** True if it is in the same data centre as the home. */
  bool isNear = false;
  /** False while it does not respond. */
  bool isReachable = true;
  LogPosition position;
  /** Upper bound on its data's age; absent while none is known. */
  std::optional<Core::Duration> age;
  Core::Duration expectedWait{ 0 };
  std::size_t connections = 0;
};

/** What a read requires of the data. */
struct ReadRequirements
{
  /** The log position that the data must cover. */
  LogPosition token;
  /** Zero if only the primary's data is accepted. */
  Core::Duration maxAge{ 0 };
};

/**
 * Chooses databases for reads from estimates. The response is checked against
 * the requirements with Satisfies.
 */
class ReadRouter
{
public:
  explicit ReadRouter(ReadPolicy aPolicy = ReadPolicy::LeastWait)
    : policy_(aPolicy)
  {
  }
  void SetPolicy(ReadPolicy aPolicy) { policy_ = aPolicy; }

  /** Returns the database to read from; std::nullopt if there is none. */
  std::optional<std::string> Choose(
    const std::vector<ReadCandidate>& aCandidates,
    const ReadRequirements& aRequirements);

  /** True if data at aPosition, of this age, meets the requirements. */
  static bool Satisfies(const ReadRequirements& aRequirements,
                        const LogPosition& aPosition,
                        const std::optional<Core::Duration>& aAge);

private:
  const ReadCandidate* Best(const std::vector<const ReadCandidate*>& aEligible);

  ReadPolicy policy_;
  std::size_t roundRobinTurn_ = 0;
};

} // namespace Request
