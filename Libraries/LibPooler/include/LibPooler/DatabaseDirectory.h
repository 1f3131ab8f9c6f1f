#pragma once

#include <LibPooler/Fleet.h>

#include <optional>

namespace Pooler {

/**
 * The databases as the platform lists them, with patience for entries that
 * vanish. The platform also drops the entries of live databases while its
 * store is away, and restores them soon after. So an entry that vanished
 * without having been marked as leaving is kept for a while.
 */
class DatabaseDirectory
{
public:
  /** An entry as it is now; none if it can't be used or isn't there. */
  void Set(const std::string& aId,
           std::optional<Database> aDatabase,
           Core::Instant aNow);

  /** Marks every entry as missing that isn't set again before EndReload. */
  void BeginReload();
  void EndReload(Core::Instant aNow);

  /** Forgets what has been missing for too long; true if that was any. */
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
