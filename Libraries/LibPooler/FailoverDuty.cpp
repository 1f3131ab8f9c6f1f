#include <LibPooler/FailoverDuty.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Pooler {

namespace {

constexpr std::string_view kLeaseKey = "lease/failover";

/** How often a node looks at the lease while it hears no holder. */
constexpr Core::Duration kReadInterval = std::chrono::milliseconds(400);

/** One member in so many may be unknown before patience is needed. */
constexpr int kUnknownShare = 3;

/**
 * A primary is overloaded if one in so many of the members that open
 * connections to it says so: those with few clients hardly notice.
 */
constexpr int kOverloadedShare = 3;

/** Partitions often end within this. */
constexpr Core::Duration kPatienceInPartition = std::chrono::seconds(5);

/** How long a stop waits for a change of primary that has begun. */
constexpr Core::Duration kChangePatience = std::chrono::milliseconds(2500);

/** How often the holder sends heartbeats. */
constexpr Core::Duration kHeartbeatInterval = std::chrono::milliseconds(300);

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
  , peers_(aPeers)
  , membership_(aMembership)
  , onRecord_(std::move(aOnRecord))
  , log_(std::move(aLog))
  , control_(aScheduler, aDialer)
  , lease_(std::string(kLeaseKey), aMembership.Self().Key(), aSettings.lease)
{
}

FailoverDuty::~FailoverDuty() = default;

void
FailoverDuty::Log(std::string_view aWhat, boost::json::object aFacts)
{
  log_(aWhat, std::move(aFacts));
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
  std::erase_if(lastAddresses_, [&](const auto& aEntry) {
    return !databases_.contains(aEntry.first) &&
           !primaries.contains(aEntry.first);
  });
  for (const auto& [id, database] : databases_)
    lastAddresses_[id] = { database.host, database.port };
  control_.SetDatabases(aDatabases);
  ShareDatabases();
}

void
FailoverDuty::ShareDatabases()
{
  std::map<std::string, std::vector<Authority::SupervisedDatabase>> groups;
  for (const auto& [name, supervisor] : supervisors_)
    groups[name];
  for (const auto& [id, database] : databases_)
    groups[database.group].push_back(
      { id, database.dataCentre, database.isLeaving });
  for (auto& [name, databases] : groups)
    SupervisorOf(name).SetDatabases(std::move(databases));
}

void
FailoverDuty::SetRecord(const Authority::GroupRecord& aRecord)
{
  newestRecord_ = std::max(newestRecord_, aRecord.version);
  primaries_[aRecord.group] = aRecord.primary;
  SupervisorOf(aRecord.group).SetRecord(aRecord);
  const auto revocation = revocations_.find(aRecord.group);
  const bool isOver = revocation != revocations_.end() &&
                      revocation->second.recordVersion < aRecord.version;
  if (isOver)
    revocations_.erase(revocation);
}

void
FailoverDuty::NotePrimaryAlive(const std::string& aGroup,
                               const Authority::SampleHistory::Sample& aSample)
{
  const auto supervisor = supervisors_.find(aGroup);
  if (supervisor != supervisors_.end())
    supervisor->second->NotePrimaryAlive(aSample);
}

void
FailoverDuty::Tick()
{
  ReleaseIfIdle();
  WriteLease();
  ReadLease();
  const bool holds = Holds();
  if (!wasHolding_ && holds)
    membership_.ForgetContacts();
  if (wasHolding_ && !holds) {
    control_.CloseAll();
    revocations_.clear();
  }
  wasHolding_ = holds;
  const Core::Instant now = scheduler_.Now();
  if (holds && now >= nextTending_) {
    nextTending_ = now + kHeartbeatInterval;
    membership_.TendOthers(
      KnowsAllChanges() ? std::optional(newestRecord_) : std::nullopt, seen_);
  }
  for (auto& [name, supervisor] : supervisors_)
    supervisor->Tick();
}

void
FailoverDuty::WriteLease()
{
  // Without a list of databases there is nothing to do with the duty.
  if (databases_.empty() || (!Holds() && membership_.HearsHolder()))
    return;
  const Core::Instant now = scheduler_.Now();
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
  if (Holds() || membership_.HearsHolder() || isReadingLease_ ||
      now < nextRead_)
    return;
  isReadingLease_ = true;
  nextRead_ = now + kReadInterval;
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

void
FailoverDuty::Release()
{
  releaseBy_ = scheduler_.Now() + kChangePatience;
  ReleaseIfIdle();
}

void
FailoverDuty::ReleaseIfIdle()
{
  if (!releaseBy_)
    return;
  // A change that has begun is sooner over here than with a successor.
  if (Holds() && IsChangingPrimary() && scheduler_.Now() < *releaseBy_)
    return;
  releaseBy_.reset();
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
  // The token is the store's version when the duty was acquired.
  return Holds() && appliedVersion_ >= lease_.Token();
}

bool
FailoverDuty::AwaitsRows() const
{
  if (!KnowsAllChanges())
    return Holds();
  return std::any_of(
    revocations_.begin(), revocations_.end(), [this](const auto& aEntry) {
      return appliedVersion_ < aEntry.second.recordVersion;
    });
}

bool
FailoverDuty::HoldsDuty(Core::Duration aMargin) const
{
  return lease_.HoldsFor(scheduler_.Now(), aMargin);
}

bool
FailoverDuty::IsLostToOthers(const std::string& aGroup,
                             Core::Duration aSilence) const
{
  const Membership::Opinions opinions = membership_.OpinionsOn(aGroup);
  if (opinions.reaching > opinions.notReaching + 1)
    return false;
  // Members that can't be asked may be using the primary, in a part of the
  // network of their own. Taking it from them needs more patience.
  const int all = opinions.reaching + opinions.notReaching + opinions.unknown;
  const bool areManyUnknown = opinions.unknown * kUnknownShare > all;
  return !areManyUnknown || aSilence > kPatienceInPartition;
}

bool
FailoverDuty::HasEnded(const std::string& aId) const
{
  const auto address = lastAddresses_.find(aId);
  if (address == lastAddresses_.end())
    return false;
  // Only one process listens at an address.
  return std::any_of(
    databases_.begin(), databases_.end(), [&](const auto& aEntry) {
      const Database& other = aEntry.second;
      return other.id != aId && lastAddresses_.at(other.id) == address->second;
    });
}

bool
FailoverDuty::IsOverloaded(const std::string& aGroup) const
{
  const Membership::Opinions opinions = membership_.OpinionsOn(aGroup);
  // A member that can't be told of a change would make it take a whole lease.
  if (opinions.unknown > 0 || releaseBy_)
    return false;
  const int own = overloaded_.contains(aGroup) ? 1 : 0;
  const auto owners = ownerCounts_.find(aGroup);
  const bool isShared = owners != ownerCounts_.end() && owners->second > 0;
  const int judges = isShared ? static_cast<int>(owners->second)
                              : 1 + opinions.reaching + opinions.notReaching;
  return (own + opinions.overloaded) * kOverloadedShare >= judges;
}

void
FailoverDuty::Probe(const std::string& aId,
                    Core::Duration aTimeout,
                    ProbeHandler aDone)
{
  control_.Ask(
    aId, { .kind = Sql::CommandKind::Status }, aTimeout, std::move(aDone));
}

void
FailoverDuty::StepDown(const std::string& aId,
                       Session::Term aTerm,
                       Core::Duration aTimeout,
                       ProbeHandler aDone)
{
  Sql::DatabaseCommand command;
  command.kind = Sql::CommandKind::StepDown;
  command.term = aTerm;
  control_.Ask(aId, command, aTimeout, std::move(aDone));
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

void
FailoverDuty::WriteRecord(const Authority::GroupRecord& aRecord,
                          std::function<void(Authority::WriteOutcome)> aDone)
{
  const Core::Instant requestedAt = scheduler_.Now();
  store_.Write(
    { "group/" + aRecord.group, aRecord.ToText(), aRecord.version },
    [this, record = aRecord, requestedAt, done = std::move(aDone)](
      const Authority::WriteOutcome& aOutcome) {
      if (aOutcome.result == Authority::WriteResult::Applied) {
        // What was written is known as surely as what was read.
        Authority::GroupRecord written = record;
        written.version = aOutcome.version;
        onRecord_(written, requestedAt);
        if (!written.change) {
          // Those who can't reach the store hear of it as well.
          auto& spread = announcements_[written.group];
          spread = std::make_unique<RecordBroadcast>(
            scheduler_, peers_, membership_.Others(), written, [] {});
          spread->Start();
        }
      }
      done(aOutcome);
    });
}

void
FailoverDuty::RevokeEverywhere(const Authority::GroupRecord& aRecord,
                               std::function<void()> aDone)
{
  Revocation& revocation = revocations_[aRecord.group];
  revocation = { aRecord.version, std::move(aDone), nullptr, aRecord };
  StartRevocation(revocation);
}

void
FailoverDuty::StartRevocation(Revocation& aRevocation)
{
  // Whoever registered before the record was written shows in the rows up to
  // it; whoever registers later sees the record before it has authority.
  if (appliedVersion_ < aRevocation.recordVersion || aRevocation.spread)
    return;
  announcements_.erase(aRevocation.record.group);
  aRevocation.spread = std::make_unique<RecordBroadcast>(scheduler_,
                                                         peers_,
                                                         membership_.Others(),
                                                         aRevocation.record,
                                                         aRevocation.done);
  aRevocation.spread->Start();
}

void
FailoverDuty::OnRowsApplied(std::uint64_t aVersion)
{
  appliedVersion_ = std::max(appliedVersion_, aVersion);
  for (auto& [group, revocation] : revocations_)
    StartRevocation(revocation);
}

} // namespace Pooler
