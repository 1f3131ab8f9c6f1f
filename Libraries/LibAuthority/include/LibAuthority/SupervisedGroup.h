#pragma once

#include <LibAuthority/GroupRecord.h>

#include <optional>
#include <string>
#include <vector>

namespace Authority {

/** A database of the group, as listed by the platform. */
struct SupervisedDatabase
{
  std::string id;
  std::string dataCentre;
  /** The platform is about to remove it. */
  bool isLeaving = false;
};

/** A group of databases as its supervisor knows it. */
struct SupervisedGroup
{
  std::string name;
  /** None if the store has no record of the group. */
  std::optional<GroupRecord> record{};
  std::vector<SupervisedDatabase> databases{};
  /**
   * How many replicas must have received a commit before the primary
   * acknowledges it.
   */
  int syncReplicas = 0;

  /** Null if the platform doesn't list the database. */
  const SupervisedDatabase* Find(const std::string& aId) const;

  /** True if a promotion must not lose acknowledged commits. */
  bool KeepsAcknowledgedCommits() const { return syncReplicas > 0; }
};

} // namespace Authority
