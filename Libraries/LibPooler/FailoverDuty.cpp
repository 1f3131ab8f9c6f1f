#include <LibPooler/FailoverDuty.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Pooler {

namespace {

constexpr std::string_view kLeaseKey = "lease/failover";

/**
 * How often a candidate reads the lease again. The write that acquires it is
 * conditional, so that no read is needed just before.
 */
constexpr Core::Duration kReadInterval = std::chrono::milliseconds(800);

/**
 * If more than one in this many of the other members has not responded
 * recently, a silent primary is replaced only after kPartitionTimeout.
 */
constexpr int kUnknownDivisor = 3;

/**
 * A primary counts as overloaded if at least one in this many of the members
 * that open connections to it reports an overload. A majority isn't required,
 * since members with few clients hardly notice an overload.
 */
constexpr int kOverloadedDivisor = 3;

/**
 * How long a primary must be silent before it is replaced while many members
 * don't respond. Network partitions often end within this time.
 */
constexpr Core::Duration kPartitionTimeout = std::chrono::seconds(5);

/** How long a stop waits for a change of primary in progress. */
constexpr Core::Duration kMaxReleaseDelay = std::chrono::milliseconds(2500);

/**
 * The last holder of the duty before a restoration of the store may have
 * renewed a member's authority until its own lease ended.
 */
Core::Duration
LongestForgottenAuthority(const FailoverDuty::Settings& aSettings)
{
  return aSettings.lease.duration + aSettings.supervisor.authorityLease.fenced +
         aSettings.supervisor.clockMargin;
}

} // namespace

FailoverDuty::FailoverDuty(Core::Scheduler& aScheduler,
                           Settings aSettings,
                           Sql::DatabaseDialer& aDialer,
                           Authority::CoordinationStore& aStore,
                           Promoter& aPromoter,
                           PeerLink& aPeers,
                           Membership& aMembership,
                           RecordSink aOnRecord,
                           LogSink aLog)
  : scheduler_(aScheduler)
  , settings_(aSettings)
  , store_(aStore)
  , promoter_(aPromoter)
  , membership_(aMembership)
  , onRecord_(std::move(aOnRecord))
  , log_(std::move(aLog))
  , control_(aScheduler, aDialer)
  , lease_(std::string(kLeaseKey), aMembership.Self().Key(), aSettings.lease)
  , candidacy_(aMembership.Self().name, aMembership.Self().processors)
  , forgotten_(LongestForgottenAuthority(aSettings))
  , outbox_(aScheduler, aPeers)
{
}

FailoverDuty::~FailoverDuty() = default;

void
FailoverDuty::Log(std::string_view aEvent, boost::json::object aFields)
{
  log_(aEvent, std::move(aFields));
}

Authority::GroupSupervisor&
FailoverDuty::SupervisorOf(const std::string& aGroup)
{
  auto& supervisor = supervisors_[aGroup];
  if (supervisor == nullptr) {
    Authority::SupervisorPort& port = *this;
    supervisor = std::make_unique<Authority::GroupSupervisor>(
      scheduler_, port, aGroup, settings_.supervisor);
  }
  return *supervisor;
}

void
FailoverDuty::SetDatabases(const DatabaseList& aDatabases)
{
  databases_ = aDatabases;
  std::set<std::string> primaries;
  for (const auto& [group, primary] : primaries_)
    primaries.insert(primary);
  lastListings_.Set(databases_, primaries);
  control_.SetDatabases(aDatabases);
  UpdateSupervisors();
}

void
FailoverDuty::SetGroups(GroupSettingsMap aGroups)
{
  groups_ = std::move(aGroups);
  UpdateSupervisors();
}

void
FailoverDuty::UpdateSupervisors()
{
  std::map<std::string, std::vector<Authority::SupervisedDatabase>> groups;
  for (const auto& [name, supervisor] : supervisors_)
    groups[name];
  for (const auto& [name, settings] : groups_)
    groups[name];
  for (const auto& [id, database] : databases_) {
    const auto group = groups.find(database.group);
    if (group != groups.end())
      group->second.push_back(
        { id, database.dataCentre, database.isLeaving, database.startedAt });
  }
  for (auto& [name, databases] : groups)
    SupervisorOf(name).SetDatabases(std::move(databases));
  for (const auto& [name, settings] : groups_)
    SupervisorOf(name).SetSyncReplicas(settings.syncReplicas);
}

void
FailoverDuty::SetRecord(const Authority::GroupRecord& aRecord)
{
  forgotten_.OnRecord(aRecord, scheduler_.Now());
  records_.Set(aRecord.group, aRecord.version);
  primaries_[aRecord.group] = aRecord.primary;
  if (!aRecord.isOverwritten)
    unreadable_.erase(aRecord.group);
  SupervisorOf(aRecord.group).SetRecord(aRecord);
  const auto revocation = revocations_.find(aRecord.group);
  const bool isSuperseded = revocation != revocations_.end() &&
                            revocation->second.record.version < aRecord.version;
  if (isSuperseded)
    revocations_.erase(revocation);
}

void
FailoverDuty::ReportPrimaryAlive(
  const std::string& aGroup,
  const Authority::SampleHistory::Sample& aSample)
{
  const auto supervisor = supervisors_.find(aGroup);
  if (supervisor != supervisors_.end())
    supervisor->second->ReportPrimaryAlive(aSample);
}

void
FailoverDuty::Tick()
{
  ReleaseIfIdle();
  UpdateCandidacy();
  WriteLease();
  ReadLease();
  const bool holds = Holds();
  if (!heldDuty_ && holds)
    membership_.ResetContacts();
  if (heldDuty_ && !holds) {
    control_.CloseAll();
    revocations_.clear();
    announcements_.clear();
  }
  heldDuty_ = holds;
  if (holds)
    membership_.MaintainMembers(
      KnowsAllChanges() ? std::optional(records_.Newest()) : std::nullopt,
      seen_,
      records_.Digest());
  for (auto& [name, supervisor] : supervisors_)
    supervisor->Tick();
}

void
FailoverDuty::UpdateCandidacy()
{
  // The rows up to its own registration show which members come before it.
  const bool knowsMembers =
    appliedVersion_ > 0 && membership_.CoversRequest(scheduler_.Now());
  if (Holds() || membership_.HasActiveHolder() || !knowsMembers)
    candidacy_.OnHolder();
  else
    candidacy_.OnVacant(membership_.Roster(), scheduler_.Now());
}

void
FailoverDuty::WriteLease()
{
  const Core::Instant now = scheduler_.Now();
  // Without a list of databases the duty has no work to do.
  if (databases_.empty() || (!Holds() && !candidacy_.MayAcquire(now)))
    return;
  const auto row = lease_.NextWrite(now);
  if (!row)
    return;
  store_.Write(*row, [this, now](const Authority::WriteOutcome& aOutcome) {
    const std::uint64_t before = lease_.Token();
    lease_.OnWritten(aOutcome, now);
    if (lease_.Token() != before)
      Log("duty_acquired", { { "token", lease_.Token() } });
    if (aOutcome.result != Authority::WriteResult::Applied)
      Log(
        "duty_not_written",
        { { "result", Authority::kWriteResultNames.NameOf(aOutcome.result) } });
  });
}

void
FailoverDuty::ReadLease()
{
  const Core::Instant now = scheduler_.Now();
  const bool mayRead = Holds() ? lease_.NeedsRead() : candidacy_.MayRead(now);
  if (!mayRead || isReadingLease_ || now < nextLeaseReadAt_)
    return;
  isReadingLease_ = true;
  nextLeaseReadAt_ = now + kReadInterval;
  store_.Read(std::string(kLeaseKey),
              [this](const std::optional<Authority::StoredRow>& aRow) {
                isReadingLease_ = false;
                if (aRow)
                  lease_.Observe(*aRow, scheduler_.Now());
              });
}

bool
FailoverDuty::IsChangingPrimary() const
{
  return std::any_of(
    supervisors_.begin(), supervisors_.end(), [](const auto& aEntry) {
      return aEntry.second->IsChanging();
    });
}

std::size_t
FailoverDuty::WaitingChoices() const
{
  return static_cast<std::size_t>(std::count_if(
    supervisors_.begin(), supervisors_.end(), [](const auto& aEntry) {
      return aEntry.second->IsChoiceWaiting();
    }));
}

void
FailoverDuty::Release()
{
  releaseDeadline_ = scheduler_.Now() + kMaxReleaseDelay;
  ReleaseIfIdle();
}

void
FailoverDuty::ReleaseIfIdle()
{
  if (!releaseDeadline_)
    return;
  // This node completes a change in progress sooner than a successor would.
  if (Holds() && IsChangingPrimary() && scheduler_.Now() < *releaseDeadline_)
    return;
  releaseDeadline_.reset();
  membership_.AnnounceResignation();
  const auto row = lease_.Release(scheduler_.Now());
  if (!row)
    return;
  store_.Write(*row, [this](const Authority::WriteOutcome& aOutcome) {
    Log("duty_released",
        { { "result", Authority::kWriteResultNames.NameOf(aOutcome.result) } });
  });
}

bool
FailoverDuty::KnowsAllChanges() const
{
  // The fencing token is the store's version when the duty was acquired. The
  // rows up to that version contain all changes of earlier holders.
  return Holds() && appliedVersion_ >= lease_.Token();
}

bool
FailoverDuty::KnowsAllMembers() const
{
  // A store that has been restored may have forgotten members.
  return KnowsAllChanges() && Authority::StoreEraOf(lease_.Token()) == 0;
}

bool
FailoverDuty::AwaitsRows() const
{
  if (!KnowsAllChanges())
    return Holds();
  return std::any_of(
    revocations_.begin(), revocations_.end(), [this](const auto& aEntry) {
      return appliedVersion_ < aEntry.second.record.version;
    });
}

bool
FailoverDuty::HoldsDuty(Core::Duration aMargin) const
{
  return lease_.HoldsFor(scheduler_.Now(), aMargin);
}

bool
FailoverDuty::IsUnreachableByPeers(const std::string& aGroup,
                                   Core::Duration aSilence) const
{
  const Membership::PrimaryReports reports = membership_.ReportsOn(aGroup);
  if (reports.reaching > reports.notReaching + 1)
    return false;
  // Members without a recent response may still be using the primary in
  // another network partition. Replacing it requires a longer silence then.
  const int all = reports.reaching + reports.notReaching + reports.unknown;
  const bool areManyUnknown = reports.unknown * kUnknownDivisor > all;
  return !areManyUnknown || aSilence > kPartitionTimeout;
}

bool
FailoverDuty::IsOverloaded(const std::string& aGroup) const
{
  const Membership::PrimaryReports reports = membership_.ReportsOn(aGroup);
  // If a member can't be notified, the change has to wait until its authority
  // expires, which takes a full lease.
  if (reports.unknown > 0 || releaseDeadline_)
    return false;
  const int own = overloaded_.contains(aGroup) ? 1 : 0;
  const auto owners = ownerCounts_.find(aGroup);
  const bool hasOwners = owners != ownerCounts_.end() && owners->second > 0;
  const int reporters = hasOwners ? static_cast<int>(owners->second)
                                  : 1 + reports.reaching + reports.notReaching;
  return (own + reports.overloaded) * kOverloadedDivisor >= reporters;
}

void
FailoverDuty::Probe(const std::string& aId,
                    Core::Duration aTimeout,
                    ProbeHandler aDone)
{
  control_.SendCommand(
    aId, { .kind = Sql::CommandKind::Status }, aTimeout, std::move(aDone));
}

void
FailoverDuty::ProbeUnlisted(const std::string& aId,
                            Core::Duration aTimeout,
                            ProbeHandler aDone)
{
  control_.SendStatusToUnlisted(aId, aTimeout, std::move(aDone));
}

void
FailoverDuty::StepDown(const std::string& aId,
                       Session::Term aTerm,
                       Core::Duration aTimeout,
                       ProbeHandler aDone)
{
  // The supervisor may have waited for the store since it last held the duty.
  // Sent later, the command could demote the primary that a successor uses.
  if (!HoldsDuty(aTimeout)) {
    Log("step_down_not_sent", { { "database", aId }, { "term", aTerm } });
    scheduler_.Defer([done = std::move(aDone)] { done({}); });
    return;
  }
  Sql::DatabaseCommand command;
  command.kind = Sql::CommandKind::StepDown;
  command.term = aTerm;
  control_.SendCommand(aId, command, aTimeout, std::move(aDone));
}

void
FailoverDuty::Promote(const std::string& aGroup,
                      const std::string& aId,
                      Core::Duration aTimeout,
                      std::function<void(Authority::PromoteResult)> aDone)
{
  promoter_.Promote(
    { aGroup, aId, membership_.Self().name, lease_.Token(), aTimeout },
    std::move(aDone));
}

std::optional<std::uint64_t>
FailoverDuty::VersionOfUnreadableRow(const std::string& aGroup) const
{
  const auto row = unreadable_.find(aGroup);
  return row == unreadable_.end() ? std::nullopt : std::optional(row->second);
}

void
FailoverDuty::WriteRecord(const Authority::GroupRecord& aRecord,
                          std::function<void(Authority::WriteOutcome)> aDone)
{
  const Core::Instant requestedAt = scheduler_.Now();
  store_.Write({ "group/" + aRecord.group, aRecord.ToText(), aRecord.version },
               [this, record = aRecord, requestedAt, done = std::move(aDone)](
                 const Authority::WriteOutcome& aOutcome) {
                 if (aOutcome.result == Authority::WriteResult::Applied) {
                   // A successful write shows what the store holds, just as a
                   // read does.
                   Authority::GroupRecord written = record;
                   written.version = aOutcome.version;
                   onRecord_(written, requestedAt);
                   if (!written.change)
                     Announce(written);
                 }
                 done(aOutcome);
               });
}

void
FailoverDuty::Announce(const Authority::GroupRecord& aRecord)
{
  // Members that can't reach the store receive the record this way. The others
  // read it, so that it need not reach everyone.
  Announcement& announcement = announcements_[aRecord.group];
  announcement.broadcast = std::make_unique<RecordBroadcast>(
    outbox_, membership_.Others(), aRecord, [] {});
  announcement.expiry = scheduler_.After(
    settings_.supervisor.authorityLease.fenced, [this, group = aRecord.group] {
      announcements_.at(group).broadcast.reset();
    });
  announcement.broadcast->Start();
}

void
FailoverDuty::RevokeEverywhere(const Authority::GroupRecord& aRecord,
                               std::function<void()> aDone)
{
  Revocation& revocation = revocations_[aRecord.group];
  revocation = {};
  revocation.record = aRecord;
  revocation.done = std::move(aDone);
  StartRevocation(revocation);
}

void
FailoverDuty::StartRevocation(Revocation& aRevocation)
{
  // The rows up to the record's version contain every member that registered
  // before it was written. A member that registers later reads the record
  // before it gets authority.
  if (appliedVersion_ < aRevocation.record.version || aRevocation.broadcast)
    return;
  announcements_.erase(aRevocation.record.group);
  aRevocation.broadcast = std::make_unique<RecordBroadcast>(
    outbox_,
    forgotten_.WithForgotten(membership_.Others(), scheduler_.Now()),
    aRevocation.record,
    [this, group = aRevocation.record.group] { OnConfirmed(group); });
  aRevocation.broadcast->Start();
}

void
FailoverDuty::OnConfirmed(const std::string& aGroup)
{
  Revocation& revocation = revocations_.at(aGroup);
  // The handler may begin the next stage, which ends this revocation.
  const std::function<void()> done = revocation.done;
  const Core::Instant now = scheduler_.Now();
  const Core::Instant unknownUntil = forgotten_.UnknownUntil();
  if (now < unknownUntil)
    revocation.timer = scheduler_.After(unknownUntil - now, done);
  else
    done();
}

void
FailoverDuty::OnRowsApplied(std::uint64_t aVersion)
{
  appliedVersion_ = std::max(appliedVersion_, aVersion);
  for (auto& [group, revocation] : revocations_)
    StartRevocation(revocation);
}

void
FailoverDuty::OnSnapshotBegins(std::uint64_t aVersion)
{
  const std::vector<Member> members = membership_.Others();
  const bool isRestored = forgotten_.OnSnapshotBegins(
    aVersion, appliedVersion_, members, scheduler_.Now());
  if (isRestored)
    Log("store_restored",
        { { "version", aVersion }, { "members", members.size() } });
}

} // namespace Pooler
