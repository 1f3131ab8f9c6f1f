#include <LibAuthority/SupervisedGroup.h>

#include <algorithm>

namespace Authority {

std::vector<LogHolder>
MergeHolders(std::vector<LogHolder> aKnown,
             const std::vector<LogHolder>& aOthers)
{
  for (const LogHolder& holder : aOthers) {
    const bool isKnown =
      std::find(aKnown.begin(), aKnown.end(), holder) != aKnown.end();
    if (!isKnown)
      aKnown.push_back(holder);
  }
  return aKnown;
}

const SupervisedDatabase*
SupervisedGroup::Find(const std::string& aId) const
{
  const auto found = std::find_if(
    databases.begin(),
    databases.end(),
    [&aId](const SupervisedDatabase& aEntry) { return aEntry.id == aId; });
  return found == databases.end() ? nullptr : &*found;
}

int
SupervisedGroup::SyncReplicas() const
{
  if (configuredSyncReplicas)
    return *configuredSyncReplicas;
  return record ? record->syncReplicas : 0;
}

std::vector<LogHolder>
SupervisedGroup::ListedHolders() const
{
  std::vector<LogHolder> holders;
  if (!KeepsAcknowledgedCommits())
    return holders;
  for (const SupervisedDatabase& database : databases)
    holders.push_back({ database.id, database.startedAt });
  return holders;
}

std::vector<LogHolder>
SupervisedGroup::LogHolders() const
{
  if (!record || !KeepsAcknowledgedCommits())
    return ListedHolders();
  return MergeHolders(record->logHolders, ListedHolders());
}

} // namespace Authority
