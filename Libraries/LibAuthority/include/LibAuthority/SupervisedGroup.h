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
  /** The start of its process in Unix milliseconds. */
  std::int64_t startedAt = 0;
};

/** Adds those of aOthers that aKnown lacks. */
std::vector<LogHolder>
MergeHolders(std::vector<LogHolder> aKnown,
             const std::vector<LogHolder>& aOthers);

/** A group of databases as its supervisor knows it. */
struct SupervisedGroup
{
  std::string name;
  /** None if the store has no record of the group. */
  std::optional<GroupRecord> record{};
  std::vector<SupervisedDatabase> databases{};
  /** None if the configuration isn't known or doesn't name the group. */
  std::optional<int> configuredSyncReplicas{};

  /** Null if the platform doesn't list the database. */
  const SupervisedDatabase* Find(const std::string& aId) const;

  /**
   * How many replicas must have received a commit before the primary
   * acknowledges it.
   */
  int SyncReplicas() const;

  /**
   * The listed processes of all databases. Empty without synchronous replicas,
   * like LogHolders.
   */
  std::vector<LogHolder> ListedHolders() const;
  /**
   * Each acknowledged commit is held by the primary and as many others of these
   * as SyncReplicas says: the record's holders and the listed ones.
   */
  std::vector<LogHolder> LogHolders() const;

  /** True if a promotion must not lose acknowledged commits. */
  bool KeepsAcknowledgedCommits() const { return SyncReplicas() > 0; }
};

} // namespace Authority
