#include <LibPooler/Membership.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/**
 * The delay before a failed write of the own row is retried. It doubles with
 * each failure up to the maximum, and half of it is random: when all members
 * of a large fleet register at once, the store refuses some of them.
 */
constexpr Core::Duration kRegistrationRetryDelay =
  std::chrono::milliseconds(200);
constexpr Core::Duration kMaxRegistrationRetryDelay =
  std::chrono::milliseconds(800);

/** Counting the members' reports takes a while in a large fleet. */
constexpr Core::Duration kSummaryLifetime = std::chrono::milliseconds(100);

/**
 * A member that has not responded for this long is expelled. The limit is long
 * enough to tolerate a paused process or a short network partition.
 */
constexpr Core::Duration kExpulsionTimeout = std::chrono::seconds(4);

/** The clocks of two VMs drift apart by less than this within a lease. */
constexpr Core::Duration kClockMargin = std::chrono::milliseconds(200);

} // namespace

Membership::Membership(Core::Scheduler& aScheduler,
                       Authority::CoordinationStore& aStore,
                       PeerLink& aPeers,
                       Member aSelf,
                       Core::Duration aAuthorityLease,
                       LogSink aLog)
  : scheduler_(aScheduler)
  , store_(aStore)
  , peers_(aPeers)
  , self_(std::move(aSelf))
  , authorityLease_(aAuthorityLease)
  , log_(std::move(aLog))
  , random_(Core::StableHash(self_.Key()))
{
}

Membership::~Membership()
{
  *alive_ = false;
}

void
Membership::SetAddresses(MemberAddresses aAddresses)
{
  self_.addresses = std::move(aAddresses);
}

void
Membership::Register(std::function<void()> aDone)
{
  registered_ = std::move(aDone);
  WriteSelf();
}

void
Membership::WriteSelf()
{
  if (isRegistering_ || isLeaving_)
    return;
  isRegistering_ = true;
  store_.Write(MemberRoster::RowOf(self_),
               [this, alive = alive_](const Authority::WriteOutcome& aOutcome) {
                 if (!*alive)
                   return;
                 isRegistering_ = false;
                 switch (aOutcome.result) {
                   case Authority::WriteResult::Applied:
                     OnRegistered(aOutcome.version);
                     return;
                   case Authority::WriteResult::Conflict:
                     ReadSelf();
                     return;
                   case Authority::WriteResult::Refused:
                   case Authority::WriteResult::Unknown:
                     RetryRegistration();
                 }
               });
}

void
Membership::ReadSelf()
{
  isRegistering_ = true;
  const Authority::StoredRow own = MemberRoster::RowOf(self_);
  store_.Read(own.key,
              [this, alive = alive_, own](
                const std::optional<Authority::StoredRow>& aRow) {
                if (!*alive)
                  return;
                isRegistering_ = false;
                if (!aRow) {
                  RetryRegistration();
                  return;
                }
                // The row may be an earlier write of this process whose
                // response was lost: no other process writes the same.
                if (aRow->value == own.value) {
                  OnRegistered(aRow->version);
                  return;
                }
                self_.version = aRow->version;
                RetryRegistration();
              });
}

void
Membership::OnRegistered(std::uint64_t aVersion)
{
  failedRegistrations_ = 0;
  self_.version = aVersion;
  registeredAt_ = scheduler_.Now();
  log_("registered", { { "member", self_.Key() } });
  if (const auto done = std::exchange(registered_, nullptr))
    done();
}

void
Membership::RetryRegistration()
{
  const Core::Duration longest = std::min<Core::Duration>(
    kRegistrationRetryDelay * (1 << std::min(failedRegistrations_++, 2)),
    kMaxRegistrationRetryDelay);
  const auto half = static_cast<std::uint64_t>(longest.count() / 2);
  const Core::Duration delay(
    static_cast<long long>(half + random_.Below(half + 1)));
  retry_ = scheduler_.After(delay, [this] { WriteSelf(); });
}

bool
Membership::Apply(const Authority::StoredRow& aRow)
{
  Core::LastReason reason;
  if (roster_.Apply(aRow, reason))
    return true;
  log_("member_unreadable", { { "reason", reason.Text() } });
  return false;
}

void
Membership::CheckSelf()
{
  if (!registeredAt_ || isLeaving_ || isRegistering_)
    return;
  const Member* row = roster_.Find(self_.Key());
  const bool isListed = row != nullptr && !row->isExpelled;
  if (isListed) {
    self_.version = row->version;
    return;
  }
  // The other members have expelled this process; it registers again and
  // gets authority only by requests sent after that.
  log_("expelled", { { "member", self_.Key() } });
  registeredAt_.reset();
  self_.version = row != nullptr ? row->version : 0;
  WriteSelf();
}

bool
Membership::CoversRequest(Core::Instant aRequestedAt) const
{
  return registeredAt_ && aRequestedAt >= *registeredAt_;
}

std::vector<Member>
Membership::Others() const
{
  std::vector<Member> others;
  for (const auto& [key, member] : roster_.All()) {
    if (key != self_.Key())
      others.push_back(member);
  }
  return others;
}

void
Membership::SetProvenConfiguration(std::uint64_t aVersion,
                                   std::optional<Core::Instant> aProvenAt)
{
  configurationVersion_ = aVersion;
  configurationProvenAt_ = aProvenAt;
}

void
Membership::MaintainMembers(std::optional<std::uint64_t> aNewestRecord,
                            const SeenVersions& aSeen,
                            std::uint64_t aRecordsDigest)
{
  Heartbeat content;
  content.sender = self_.Key();
  content.newestRecord = aNewestRecord;
  content.seen = aSeen;
  if (aNewestRecord)
    content.recordsDigest = aRecordsDigest;
  // The age is taken now: each echo in these heartbeats is older.
  if (configurationProvenAt_)
    content.configuration = { configurationVersion_,
                              scheduler_.Now() - *configurationProvenAt_ };
  std::erase_if(contacts_, [this](const auto& aEntry) {
    return roster_.Find(aEntry.first) == nullptr;
  });
  for (const auto& [key, member] : roster_.All()) {
    if (key != self_.Key())
      MaintainMember(member, content);
  }
}

void
Membership::ResetContacts()
{
  contacts_.clear();
  summary_ = {};
}

bool
Membership::HasResponsiveMembers() const
{
  const Core::Instant now = scheduler_.Now();
  return std::any_of(
    contacts_.begin(), contacts_.end(), [now](const auto& aEntry) {
      const Contact& contact = aEntry.second;
      return contact.clock && now - contact.lastResponseAt < kHeartbeatTimeout;
    });
}

SeenVersions
Membership::SeenByOthers() const
{
  SeenVersions newest;
  for (const auto& [key, contact] : contacts_) {
    newest.configuration =
      std::max(newest.configuration, contact.seen.configuration);
    newest.databases = std::max(newest.databases, contact.seen.databases);
    newest.own = std::max(newest.own, contact.seen.own);
  }
  return newest;
}

void
Membership::MaintainMember(const Member& aMember, const Heartbeat& aContent)
{
  const Core::Instant now = scheduler_.Now();
  const std::string key = aMember.Key();
  const auto [entry, isNew] =
    contacts_.try_emplace(key, Contact{ .lastResponseAt = now });
  Contact& contact = entry->second;
  if (isNew)
    contact.nextHeartbeatAt =
      now + Core::Duration(static_cast<long long>(random_.Below(
              static_cast<std::uint64_t>(kHeartbeatInterval.count()))));
  if (aMember.name == self_.name) {
    // This is an earlier process of this VM, which can't be running any more.
    Remove(aMember);
    return;
  }
  if (aMember.isExpelled) {
    if (contact.expelledSince == Core::Instant::min())
      contact.expelledSince = now;
    if (now - contact.expelledSince > authorityLease_ + kClockMargin)
      Remove(aMember);
    return;
  }
  if (contact.expelledSince != Core::Instant::min()) {
    // It has registered again, and may have got authority since.
    contact.expelledSince = Core::Instant::min();
    contact.returnedAt = now;
  }
  const Core::Instant silentSince =
    std::max(contact.lastResponseAt, contact.returnedAt);
  if (now - silentSince > kExpulsionTimeout) {
    contact.lastResponseAt = now;
    Expel(aMember, "silent");
    return;
  }
  if (contact.isRequestPending || now < contact.nextHeartbeatAt)
    return;
  contact.isRequestPending = true;
  // Counted from when it was due, so that a late call doesn't slow the pace.
  contact.nextHeartbeatAt = std::max(
    contact.nextHeartbeatAt + kHeartbeatInterval, now + kHeartbeatInterval / 2);
  Heartbeat heartbeat = aContent;
  heartbeat.receiver = key;
  heartbeat.echo = contact.clock;
  peers_.SendHeartbeat(
    aMember,
    heartbeat,
    [this, alive = alive_, key](const HeartbeatResponse& aResponse) {
      if (*alive)
        OnHeartbeatResponse(key, aResponse);
    });
}

void
Membership::OnHeartbeatResponse(const std::string& aKey,
                                const HeartbeatResponse& aResponse)
{
  const auto contact = contacts_.find(aKey);
  if (contact == contacts_.end())
    return;
  contact->second.isRequestPending = false;
  if (aResponse.delivery == PeerDelivery::Ended) {
    if (const Member* member = roster_.Find(aKey))
      Remove(*member);
    return;
  }
  if (aResponse.delivery != PeerDelivery::Answered)
    return;
  contact->second.lastResponseAt = scheduler_.Now();
  contact->second.clock = aResponse.clock;
  contact->second.reachedGroups = aResponse.reachedGroups;
  contact->second.overloadedGroups = aResponse.overloadedGroups;
  contact->second.seen = aResponse.seen;
}

void
Membership::Expel(Member aMember, std::string_view aReason)
{
  log_("member_expelled",
       { { "member", aMember.Key() }, { "reason", aReason } });
  aMember.isExpelled = true;
  store_.Write(MemberRoster::RowOf(aMember),
               [](const Authority::WriteOutcome&) {
                 // The rows read from the store show whether it was written.
               });
}

void
Membership::Remove(const Member& aMember)
{
  Contact& contact = contacts_[aMember.Key()];
  if (contact.isRequestPending)
    return;
  contact.isRequestPending = true;
  store_.Remove(
    MemberRoster::RowOf(aMember),
    [this, alive = alive_, key = aMember.Key()](
      const Authority::WriteOutcome& aOutcome) {
      if (!*alive)
        return;
      contacts_.erase(key);
      log_(
        "member_removed",
        { { "member", key },
          { "result", Authority::kWriteResultNames.NameOf(aOutcome.result) } });
    });
}

const Membership::ReportSummary&
Membership::Summary() const
{
  const Core::Instant now = scheduler_.Now();
  if (summary_.countedAt != Core::Instant::min() &&
      now - summary_.countedAt < kSummaryLifetime)
    return summary_;
  summary_ = { .countedAt = now };
  for (const auto& [key, member] : roster_.All()) {
    if (key == self_.Key())
      continue;
    const auto contact = contacts_.find(key);
    // An expelled member may still be using the primary.
    if (member.isExpelled || contact == contacts_.end() ||
        now - contact->second.lastResponseAt > kHeartbeatTimeout) {
      ++summary_.unknown;
      continue;
    }
    ++summary_.known;
    for (const std::string& group : contact->second.reachedGroups)
      ++summary_.reaching[group];
    for (const std::string& group : contact->second.overloadedGroups)
      ++summary_.overloaded[group];
  }
  return summary_;
}

Membership::PrimaryReports
Membership::ReportsOn(const std::string& aGroup) const
{
  const auto countOf = [&aGroup](const std::map<std::string, int>& aCounts) {
    const auto count = aCounts.find(aGroup);
    return count == aCounts.end() ? 0 : count->second;
  };
  const ReportSummary& summary = Summary();
  PrimaryReports reports;
  reports.reaching = countOf(summary.reaching);
  reports.notReaching = summary.known - reports.reaching;
  reports.unknown = summary.unknown;
  reports.overloaded = countOf(summary.overloaded);
  return reports;
}

void
Membership::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  if (aHeartbeat.sender == self_.Key())
    return;
  lastHeartbeatAt_ =
    aHeartbeat.resigns ? Core::Instant::min() : scheduler_.Now();
}

bool
Membership::HasActiveHolder() const
{
  return lastHeartbeatAt_ != Core::Instant::min() &&
         scheduler_.Now() - lastHeartbeatAt_ < kHeartbeatTimeout;
}

void
Membership::AnnounceResignation()
{
  for (const Member& member : Others()) {
    Heartbeat heartbeat;
    heartbeat.sender = self_.Key();
    heartbeat.receiver = member.Key();
    heartbeat.resigns = true;
    peers_.SendHeartbeat(member, heartbeat, [](const HeartbeatResponse&) {
      // A member that misses this notices the missing heartbeats later.
    });
  }
}

void
Membership::Leave(std::function<void()> aDone)
{
  isLeaving_ = true;
  registeredAt_.reset();
  store_.Remove(MemberRoster::RowOf(self_),
                [done = std::move(aDone)](const Authority::WriteOutcome&) {
                  // If this failed, the holder of the failover duty removes
                  // the row.
                  done();
                });
}

} // namespace Pooler
