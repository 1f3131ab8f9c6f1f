#include <LibPooler/DatabaseDirectory.h>

namespace Pooler {

namespace {

/** The platform restores entries of live databases within about 2 s. */
constexpr Core::Duration kMissingRetention = std::chrono::milliseconds(2500);

/** Longer than the age of any copy from which the platform's store restores. */
constexpr Core::Duration kLeavingRetention = std::chrono::seconds(60);

} // namespace

void
DatabaseDirectory::Set(const std::string& aId,
                       std::optional<Database> aDatabase,
                       Core::Instant aNow)
{
  if (aDatabase) {
    NoteLeaving(*aDatabase, aNow);
    entries_[aId] = { *aDatabase, std::nullopt, true };
    return;
  }
  const auto entry = entries_.find(aId);
  if (entry == entries_.end())
    return;
  if (entry->second.database.isLeaving)
    entries_.erase(entry);
  else if (!entry->second.missingSince)
    entry->second.missingSince = aNow;
}

void
DatabaseDirectory::NoteLeaving(Database& aDatabase, Core::Instant aNow)
{
  const auto known = leaving_.find(aDatabase.id);
  const bool isKnown =
    known != leaving_.end() && known->second.startedAt == aDatabase.startedAt;
  const bool hasLeft = aDatabase.startedAt != 0 && isKnown;
  aDatabase.isLeaving = aDatabase.isLeaving || hasLeft;
  if (!aDatabase.isLeaving)
    return;
  // One that was leaving before this process knew it may be about to end.
  const Core::Instant firstKnown =
    entries_.contains(aDatabase.id) ? aNow : aNow - kLeavingRetention;
  aDatabase.leavingSince = isKnown ? known->second.since : firstKnown;
  leaving_[aDatabase.id] = { aDatabase.startedAt,
                             aDatabase.leavingSince,
                             aNow };
}

void
DatabaseDirectory::BeginReload()
{
  for (auto& [id, entry] : entries_)
    entry.wasReloaded = false;
}

void
DatabaseDirectory::EndReload(Core::Instant aNow)
{
  std::erase_if(entries_, [](const auto& aItem) {
    return !aItem.second.wasReloaded && aItem.second.database.isLeaving;
  });
  for (auto& [id, entry] : entries_) {
    if (!entry.wasReloaded && !entry.missingSince)
      entry.missingSince = aNow;
  }
}

bool
DatabaseDirectory::Expire(Core::Instant aNow)
{
  std::erase_if(leaving_, [aNow](const auto& aItem) {
    return aNow - aItem.second.listedAt > kLeavingRetention;
  });
  return std::erase_if(entries_, [aNow](const auto& aItem) {
           const auto& since = aItem.second.missingSince;
           return since && aNow - *since > kMissingRetention;
         }) > 0;
}

DatabaseList
DatabaseDirectory::List() const
{
  DatabaseList list;
  for (const auto& [id, entry] : entries_)
    list.emplace(id, entry.database);
  return list;
}

} // namespace Pooler
