#include <LibPooler/Node.h>

#include <utility>

namespace Pooler {

namespace {

/** The key prefix of group records; members have their own prefix. */
constexpr std::string_view kGroupPrefix = "group/";

/** Counts rows of the system's own table that can't be read. */
constexpr const char* kUnreadableRows = "rows_unreadable_total{table=\"own\"}";

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

} // namespace

void
Node::ApplyOwnRows(const Authority::FollowedRows& aRows)
{
  if (aRows.isSnapshot) {
    duty_.OnSnapshotBegins(aRows.version);
    membership_.BeginReload();
  }
  for (const Authority::StoredRow& row : aRows.rows)
    ApplyMemberRow(row);
  // These rows may show that this node is expelled, and so isn't asked before a
  // primary is replaced. Then they grant no authority.
  membership_.CheckSelf();
  // Statements that wait for authority run as soon as it is granted, with the
  // connections that this node may open by then.
  if (!aRows.rows.empty())
    UpdateConnectionShares();
  const bool mayGrantAuthority = membership_.CoversRequest(aRows.requestedAt);
  const Core::Instant requestedAt =
    mayGrantAuthority ? aRows.requestedAt : Authority::kNoRequestTime;
  for (const Authority::StoredRow& row : aRows.rows)
    ApplyGroupRow(row, requestedAt);
  if (aRows.isSnapshot)
    NoteForgottenRecords(aRows.version);
  hasRows_ = true;
  lastStoreRequestAt_ = std::max(lastStoreRequestAt_, aRows.requestedAt);
  for (auto& [name, router] : routers_)
    router->RenewAuthority(requestedAt);
  duty_.OnRowsApplied(aRows.version);
  if (!aRows.rows.empty())
    UpdateRelays();
}

void
Node::NoteForgottenRecords(std::uint64_t aVersion)
{
  const std::uint64_t era = Authority::StoreEraOf(aVersion);
  for (auto& [name, router] : routers_) {
    const auto& known = router->Authority().Record();
    if (!known || Authority::StoreEraOf(known->version) >= era)
      continue;
    Authority::GroupRecord missing = *known;
    missing.version = Authority::MakeStoreVersion(era, 0);
    Observe(missing, Authority::kNoRequestTime);
  }
}

void
Node::ApplyMemberRow(const Authority::StoredRow& aRow)
{
  if (StartsWith(aRow.key, MemberRoster::kKeyPrefix) &&
      !membership_.Apply(aRow))
    metrics_.Count(kUnreadableRows);
}

void
Node::ApplyGroupRow(const Authority::StoredRow& aRow,
                    Core::Instant aRequestedAt)
{
  if (!StartsWith(aRow.key, kGroupPrefix))
    return;
  const std::string name = aRow.key.substr(kGroupPrefix.size());
  Core::LastReason reason;
  auto record = Authority::GroupRecord::Parse(name, aRow.value, reason);
  if (!record) {
    metrics_.Count(kUnreadableRows);
    log_("group_record_unreadable", { { "reason", reason.Text() } });
    NoteOverwrittenRecord(name, aRow.version);
    return;
  }
  record->version = aRow.version;
  Observe(*record, aRequestedAt);
}

void
Node::NoteOverwrittenRecord(const std::string& aGroup, std::uint64_t aVersion)
{
  // A group without a router was never configured, nor had a record.
  const GroupRouter* router = FindRouter(aGroup);
  if (router == nullptr)
    return;
  duty_.SetUnreadable(aGroup, aVersion);
  const auto& known = router->Authority().Record();
  if (!known)
    return;
  Authority::GroupRecord overwritten = *known;
  overwritten.version = aVersion;
  overwritten.isOverwritten = true;
  Observe(overwritten, Authority::kNoRequestTime);
}

void
Node::Observe(const Authority::GroupRecord& aRecord, Core::Instant aRequestedAt)
{
  GroupRouter& router = RouterOf(aRecord.group);
  const bool isNew = router.ObserveRecord(aRecord, aRequestedAt);
  const Authority::GroupRecord& known = *router.Authority().Record();
  if (isNew)
    log_("group_record",
         { { "group", known.group },
           { "primary", known.primary },
           { "term", known.term },
           { "changing", known.change.has_value() },
           { "version", known.version },
           { "of_current_era", known.IsOfCurrentEra() } });
  duty_.SetRecord(known);
}

} // namespace Pooler
