#pragma once

#include <LibPooler/Fleet.h>

#include <optional>

namespace Pooler {

/**
 * The databases as listed by the platform, with a retention period for entries
 * that disappear. The platform also drops entries of live databases while its
 * store is unavailable, and restores them soon after. Therefore an entry that
 * disappears without having been marked as leaving is kept for a while.
 */
class DatabaseDirectory
{
public:
  /** Sets an entry; aDatabase is none if it is missing or unusable. */
  void Set(const std::string& aId,
           std::optional<Database> aDatabase,
           Core::Instant aNow);

  /** Starts a reload; entries not set again before EndReload are missing. */
  void BeginReload();
  void EndReload(Core::Instant aNow);

  /** Removes entries missing for too long; returns true if there were any. */
  bool Expire(Core::Instant aNow);

  DatabaseList List() const;

private:
  struct Entry
  {
    Database database;
    std::optional<Core::Instant> missingSince;
    bool wasReloaded = true;
  };
  std::map<std::string, Entry> entries_;
};

} // namespace Pooler
