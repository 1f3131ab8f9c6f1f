#include <LibPooler/ForgottenMembers.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Pooler {

bool
ForgottenMembers::OnSnapshotBegins(std::uint64_t aVersion,
                                   std::uint64_t aPreviousVersion,
                                   const std::vector<Member>& aListed,
                                   Core::Instant aNow)
{
  const std::uint64_t era = Authority::StoreEraOf(aVersion);
  if (!firstEra_)
    firstEra_ = era;
  if (aPreviousVersion == 0 || era <= Authority::StoreEraOf(aPreviousVersion))
    return false;
  // Includes those that an earlier restoration has made the store forget.
  known_ = WithForgotten(aListed, aNow);
  knownUntil_ = aNow + longestAuthority_;
  return true;
}

void
ForgottenMembers::OnRecord(const Authority::GroupRecord& aRecord,
                           Core::Instant aNow)
{
  // The first rows of this process hold a record from before a restoration.
  const bool wasRestoredBefore =
    !aRecord.IsOfCurrentEra() &&
    Authority::StoreEraOf(aRecord.version) == firstEra_;
  if (wasRestoredBefore && unknownUntil_ == Core::Instant::min())
    unknownUntil_ = aNow + longestAuthority_;
}

std::vector<Member>
ForgottenMembers::WithForgotten(std::vector<Member> aListed,
                                Core::Instant aNow) const
{
  if (aNow > knownUntil_)
    return aListed;
  std::set<std::string> listed;
  for (const Member& member : aListed)
    listed.insert(member.Key());
  std::copy_if(known_.begin(),
               known_.end(),
               std::back_inserter(aListed),
               [&listed](const Member& aMember) {
                 return !listed.contains(aMember.Key());
               });
  return aListed;
}

} // namespace Pooler
