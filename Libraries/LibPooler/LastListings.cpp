#include <LibPooler/LastListings.h>

#include <algorithm>

namespace Pooler {

void
LastListings::Set(const DatabaseList& aDatabases,
                  const std::set<std::string>& aPrimaries)
{
  std::erase_if(listings_, [&](const auto& aEntry) {
    return !aPrimaries.contains(aEntry.first);
  });
  for (auto& [id, listing] : listings_)
    listing.isListed = false;
  for (const auto& [id, database] : aDatabases)
    listings_[id] = {
      database.group, { database.host, database.port }, database.startedAt, true
    };
}

bool
LastListings::HasEnded(
  const std::string& aId,
  const std::function<bool(const std::string&)>& aIsKnown) const
{
  const auto known = listings_.find(aId);
  if (known == listings_.end())
    return false;
  // Only one process can listen on an address. If another database that started
  // later is listed at this one's last address, this one has ended. An earlier
  // one may be listed there by a store that was restored from an older copy.
  return std::any_of(
    listings_.begin(), listings_.end(), [&](const auto& aEntry) {
      const Listing& other = aEntry.second;
      return other.isListed && aEntry.first != aId &&
             other.address == known->second.address &&
             other.startedAt >= known->second.startedAt &&
             aIsKnown(other.group);
    });
}

} // namespace Pooler
