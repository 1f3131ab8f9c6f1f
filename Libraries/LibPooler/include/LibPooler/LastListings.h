#pragma once

#include <LibPooler/Fleet.h>
#include <LibWire/Address.h>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace Pooler {

/**
 * What the platform's list said last of each listed database, and of primaries
 * that are no longer listed.
 */
class LastListings
{
public:
  /** aPrimaries are the ids of the groups' recorded primaries. */
  void Set(const DatabaseList& aDatabases,
           const std::set<std::string>& aPrimaries);

  /**
   * True if a database's process is known to have ended: another one that
   * started later is listed at its last address. Only databases of groups for
   * which aIsKnown returns true count; other entries may be anybody's.
   */
  bool HasEnded(const std::string& aId,
                const std::function<bool(const std::string&)>& aIsKnown) const;

private:
  struct Listing
  {
    std::string group;
    Wire::Address address;
    /** Database::startedAt. */
    std::int64_t startedAt = 0;
    /** False for a primary that is no longer listed. */
    bool isListed = false;
  };
  std::map<std::string, Listing> listings_;
};

} // namespace Pooler
