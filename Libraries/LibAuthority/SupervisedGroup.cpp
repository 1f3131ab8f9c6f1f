#include <LibAuthority/SupervisedGroup.h>

#include <algorithm>

namespace Authority {

const SupervisedDatabase*
SupervisedGroup::Find(const std::string& aId) const
{
  const auto found = std::find_if(
    databases.begin(),
    databases.end(),
    [&aId](const SupervisedDatabase& aEntry) { return aEntry.id == aId; });
  return found == databases.end() ? nullptr : &*found;
}

} // namespace Authority
