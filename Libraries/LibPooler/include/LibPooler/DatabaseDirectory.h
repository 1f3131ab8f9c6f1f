#pragma once

#include <LibPooler/Fleet.h>

#include <optional>

namespace Pooler {

/**
 * The databases as listed by the platform, with a retention period for entries
 * that disappear. The platform also drops entries of live databases while its
 * store is unavailable, and restores them soon after. Therefore an entry that
 * disappears without having been marked as leaving is kept for a while.
 *
 * A store that is restored from an older copy may list a database as it was
 * before it began to leave. A database that leaves never serves again before it
 * has been restarted, so it stays marked as leaving.
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
  /** Marks a database that was listed as leaving since its start. */
  void NoteLeaving(Database& aDatabase, Core::Instant aNow);

  struct Leaving
  {
    /** Database::startedAt of the process that leaves. */
    std::int64_t startedAt = 0;
    Core::Instant since{};
    Core::Instant listedAt{};
  };
  struct Entry
  {
    Database database;
    std::optional<Core::Instant> missingSince;
    bool wasReloaded = true;
  };
  std::map<std::string, Entry> entries_;
  /** By id: databases that were listed as leaving lately. */
  std::map<std::string, Leaving> leaving_;
};

} // namespace Pooler
