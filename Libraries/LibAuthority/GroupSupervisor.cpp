#include <LibAuthority/GroupSupervisor.h>

#include <algorithm>
#include <utility>

namespace Authority {

namespace {

/** How often a new candidate is asked whether it leads yet. */
constexpr Core::Duration kCandidateProbeInterval =
  std::chrono::milliseconds(40);

/** A primary that refuses connections this long has ended. */
constexpr Core::Duration kRefusalLimit = std::chrono::milliseconds(250);

/**
 * A voluntary change waits so long for a replica to have the old primary's
 * whole log. A replica that receives at all has it within some milliseconds;
 * the primary may first have to work off what it was sent before.
 */
constexpr Core::Duration kVoluntaryChoiceTimeout =
  std::chrono::milliseconds(1500);

/**
 * An overloaded primary isn't replaced so soon after the last change: each one
 * stops writes for most of a second, and the group must gain more than that.
 */
constexpr Core::Duration kReliefInterval = std::chrono::seconds(15);

/** A stage whose write or question got lost starts again after this. */
constexpr Core::Duration kStageTimeout = std::chrono::seconds(3);

} // namespace

GroupSupervisor::GroupSupervisor(Core::Scheduler& aScheduler,
                                 SupervisorPort& aPort,
                                 std::string aGroup,
                                 SupervisorTiming aTiming)
  : scheduler_(aScheduler)
  , port_(aPort)
  , group_(std::move(aGroup))
  , timing_(aTiming)
{
}

void
GroupSupervisor::SetDatabases(std::vector<SupervisedDatabase> aDatabases)
{
  databases_ = std::move(aDatabases);
}

void
GroupSupervisor::SetRecord(const std::optional<GroupRecord>& aRecord)
{
  if (record_ && aRecord && aRecord->version < record_->version)
    return;
  const bool isOther =
    record_ && aRecord && aRecord->primary != record_->primary;
  const bool isNews = record_ && aRecord && aRecord->version > record_->version;
  record_ = aRecord;
  if (isOther) {
    primaryAliveAt_ = scheduler_.Now();
    primaryPosition_.reset();
    noSwitchoverBefore_ = scheduler_.Now() + kReliefInterval;
  }
  const bool isWriting = stage_ == Stage::Announcing ||
                         stage_ == Stage::Naming || stage_ == Stage::Completing;
  // Somebody else has taken the change further; begin from what there is now.
  if (isNews && stage_ != Stage::Watching && !isWriting)
    Abandon();
}

void
GroupSupervisor::NotePrimaryAlive(const SampleHistory::Sample& aSample)
{
  primaryAliveAt_ = std::max(primaryAliveAt_, aSample.sentAt);
  primaryPosition_ = aSample.position;
}

const SupervisedDatabase*
GroupSupervisor::Find(const std::string& aId) const
{
  const auto found = std::find_if(
    databases_.begin(),
    databases_.end(),
    [&aId](const SupervisedDatabase& aEntry) { return aEntry.id == aId; });
  return found == databases_.end() ? nullptr : &*found;
}

void
GroupSupervisor::EnterStage(Stage aStage)
{
  stage_ = aStage;
  stageSince_ = scheduler_.Now();
  ++epoch_;
  isProbing_ = false;
  nextProbe_ = {};
}

void
GroupSupervisor::Abandon()
{
  EnterStage(Stage::Watching);
  statuses_.clear();
  steppedDownAt_.reset();
  isPromoteCalled_ = false;
}

std::function<void(ProbeOutcome)>
GroupSupervisor::Guard(std::function<void(const ProbeOutcome&)> aHandler)
{
  return [this, epoch = epoch_, handler = std::move(aHandler)](
           const ProbeOutcome& aOutcome) {
    if (epoch == epoch_)
      handler(aOutcome);
  };
}

void
GroupSupervisor::Tick()
{
  const Core::Instant now = scheduler_.Now();
  if (!port_.HoldsDuty(Core::Duration::zero())) {
    if (wasOnDuty_)
      Abandon();
    wasOnDuty_ = false;
    return;
  }
  if (!wasOnDuty_)
    primaryAliveAt_ = now;
  wasOnDuty_ = true;
  switch (stage_) {
    case Stage::Watching:
      if (!record_)
        FindFirstPrimary();
      else if (record_->change)
        BeginFencing();
      else
        WatchPrimary();
      return;
    case Stage::Fencing:
      CheckFence();
      return;
    case Stage::Choosing:
      AskCandidates();
      TryChoose();
      return;
    case Stage::Promoting:
      WatchCandidate();
      return;
    case Stage::Announcing:
    case Stage::Naming:
    case Stage::Completing:
      // A write without an answer: the record shows whether it was done.
      if (now - stageSince_ > kStageTimeout)
        Abandon();
      return;
  }
}

void
GroupSupervisor::ProbeInto(const std::string& aId)
{
  port_.Probe(
    aId, timing_.probeTimeout, Guard([this, aId](const ProbeOutcome& aOutcome) {
      if (aOutcome.status)
        statuses_[aId] = *aOutcome.status;
      if (stage_ == Stage::Watching && !record_)
        OnFirstStatuses();
    }));
}

void
GroupSupervisor::FindFirstPrimary()
{
  const Core::Instant now = scheduler_.Now();
  if (now < nextProbe_)
    return;
  nextProbe_ = now + timing_.probeInterval;
  for (const SupervisedDatabase& database : databases_)
    ProbeInto(database.id);
}

void
GroupSupervisor::OnFirstStatuses()
{
  // Before there is a record nobody promotes, so one primary at most exists.
  for (const auto& [id, status] : statuses_) {
    if (!status.isPrimary)
      continue;
    GroupRecord record;
    record.group = group_;
    record.primary = id;
    record.term = status.term;
    EnterStage(Stage::Completing);
    port_.Log("group_first_primary",
              { { "group", group_ }, { "database", id } });
    WriteAndThen(record, [this] { Abandon(); });
    return;
  }
}

void
GroupSupervisor::WatchPrimary()
{
  const Core::Instant now = scheduler_.Now();
  const SupervisedDatabase* primary = Find(record_->primary);
  if (port_.HasEnded(record_->primary) && HasUsefulCandidate()) {
    BeginChange("ended");
    return;
  }
  if (primary != nullptr && primary->isLeaving && HasUsefulCandidate()) {
    BeginChange("leaving");
    return;
  }
  if (now - primaryAliveAt_ > timing_.silenceLimit && HasUsefulCandidate() &&
      port_.IsLostToOthers(group_, now - primaryAliveAt_)) {
    BeginChange("silent");
    return;
  }
  ConsiderSwitchover();
  // Answers to statements show as well that it lives.
  const bool wasHeard = now - primaryAliveAt_ < timing_.probeInterval;
  if (isProbing_ || wasHeard || now < nextProbe_)
    return;
  isProbing_ = true;
  nextProbe_ = now + timing_.probeInterval;
  port_.Probe(record_->primary,
              timing_.probeTimeout,
              Guard([this](const ProbeOutcome& aOutcome) {
                isProbing_ = false;
                OnPrimaryProbe(aOutcome);
              }));
}

void
GroupSupervisor::ConsiderSwitchover()
{
  const Core::Instant now = scheduler_.Now();
  if (now < noSwitchoverBefore_ || !primaryPosition_ ||
      !port_.IsOverloaded(group_))
    return;
  noSwitchoverBefore_ = now + timing_.probeTimeout;
  for (const SupervisedDatabase& database : databases_) {
    if (database.isLeaving || database.id == record_->primary)
      continue;
    // One that receives nothing couldn't lead without losing commits.
    port_.Probe(
      database.id,
      timing_.probeTimeout,
      Guard([this, needed = *primaryPosition_](const ProbeOutcome& aOutcome) {
        if (!aOutcome.status || aOutcome.status->received < needed)
          return;
        noSwitchoverBefore_ = scheduler_.Now() + kReliefInterval;
        BeginChange("overloaded", true);
      }));
  }
}

bool
GroupSupervisor::HasUsefulCandidate() const
{
  return std::any_of(databases_.begin(),
                     databases_.end(),
                     [this](const SupervisedDatabase& aEntry) {
                       return aEntry.id != record_->primary &&
                              !aEntry.isLeaving;
                     });
}

void
GroupSupervisor::OnPrimaryProbe(const ProbeOutcome& aOutcome)
{
  const Core::Instant now = scheduler_.Now();
  if (aOutcome.isBusy) {
    primaryAliveAt_ = now;
    return;
  }
  if (aOutcome.status) {
    const Sql::DatabaseStatus& status = *aOutcome.status;
    if (status.isPrimary && status.term == record_->term) {
      primaryAliveAt_ = now;
      return;
    }
    if (HasUsefulCandidate() || !status.isPrimary)
      BeginChange("no_longer_primary");
    return;
  }
  if (aOutcome.isRefused && now - primaryAliveAt_ > kRefusalLimit &&
      HasUsefulCandidate())
    BeginChange("refused");
}

void
GroupSupervisor::WriteAndThen(const GroupRecord& aRecord,
                              std::function<void()> aNext)
{
  port_.WriteRecord(
    aRecord,
    [this, epoch = epoch_, record = aRecord, next = std::move(aNext)](
      const WriteOutcome& aOutcome) {
      if (epoch != epoch_)
        return;
      if (aOutcome.result != WriteResult::Applied) {
        port_.Log("group_record_not_written",
                  { { "group", group_ },
                    { "result", kWriteResultNames.NameOf(aOutcome.result) } });
        // What the store holds decides how to go on, once it is known.
        Abandon();
        return;
      }
      GroupRecord written = record;
      written.version = aOutcome.version;
      SetRecord(written);
      next();
    });
}

void
GroupSupervisor::BeginChange(std::string_view aReason, bool aIsVoluntary)
{
  port_.Log("primary_change_begins",
            { { "group", group_ },
              { "primary", record_->primary },
              { "term", record_->term },
              { "reason", aReason },
              { "silent_ms",
                Core::ToMilliseconds(scheduler_.Now() - primaryAliveAt_) } });
  GroupRecord record = *record_;
  record.change = PrimaryChange{ .isVoluntary = aIsVoluntary };
  EnterStage(Stage::Announcing);
  WriteAndThen(record, [this] { BeginFencing(); });
}

void
GroupSupervisor::BeginFencing()
{
  EnterStage(Stage::Fencing);
  statuses_.clear();
  steppedDownAt_.reset();
  port_.StepDown(record_->primary,
                 record_->term + 1,
                 timing_.probeTimeout,
                 Guard([this](const ProbeOutcome& aOutcome) {
                   if (!aOutcome.status || aOutcome.status->isPrimary)
                     return;
                   steppedDownAt_ = aOutcome.status->received;
                 }));
  port_.RevokeEverywhere(*record_, [this, epoch = epoch_] {
    if (epoch == epoch_)
      OnFenced("revoked");
  });
}

void
GroupSupervisor::CheckFence()
{
  if (port_.HasEnded(record_->primary)) {
    OnFenced("ended");
    return;
  }
  // A database that has stepped down refuses all that may write, so that only
  // plain reads are left to be waited for.
  const Core::Duration lease = steppedDownAt_
                                 ? timing_.authorityLease.plainReads
                                 : timing_.authorityLease.fenced;
  if (scheduler_.Now() - stageSince_ > lease + timing_.clockMargin)
    OnFenced(steppedDownAt_ ? "stepped_down" : "waited");
}

void
GroupSupervisor::OnFenced(std::string_view aHow)
{
  port_.Log(
    "primary_fenced",
    { { "group", group_ },
      { "primary", record_->primary },
      { "how", aHow },
      { "after_ms", Core::ToMilliseconds(scheduler_.Now() - stageSince_) } });
  if (record_->change->candidate.empty()) {
    BeginChoosing();
    return;
  }
  EnterStage(Stage::Promoting);
  isPromoteCalled_ = false;
}

void
GroupSupervisor::BeginChoosing()
{
  EnterStage(Stage::Choosing);
  statuses_.clear();
  AskCandidates();
}

void
GroupSupervisor::AskCandidates()
{
  const Core::Instant now = scheduler_.Now();
  if (now < nextProbe_)
    return;
  nextProbe_ = now + kCandidateProbeInterval;
  for (const SupervisedDatabase& database : databases_)
    ProbeInto(database.id);
}

void
GroupSupervisor::TryChoose()
{
  const Core::Duration limit = record_->change->isVoluntary
                                 ? kVoluntaryChoiceTimeout
                                 : timing_.choiceTimeout;
  const bool isLate = scheduler_.Now() - stageSince_ > limit;
  const CandidateChoice choice = ChooseCandidate(
    { *record_, databases_, statuses_, steppedDownAt_, isLate });
  switch (choice.decision) {
    case CandidateDecision::Wait:
      return;
    case CandidateDecision::Promote:
      Name(choice.database);
      return;
    case CandidateDecision::LeadsAlready:
      Complete(choice.database, statuses_.at(choice.database));
      return;
    case CandidateDecision::KeepPrimary:
      KeepPrimary();
  }
}

void
GroupSupervisor::KeepPrimary()
{
  port_.Log("primary_change_cancelled", { { "group", group_ } });
  GroupRecord record = *record_;
  record.change.reset();
  WriteEnd(record);
}

void
GroupSupervisor::Name(const std::string& aCandidate)
{
  GroupRecord record = *record_;
  record.change->candidate = aCandidate;
  boost::json::object facts{ { "group", group_ }, { "candidate", aCandidate } };
  for (const auto& [id, status] : statuses_)
    facts[id] = status.received.ToText();
  port_.Log("candidate_chosen", std::move(facts));
  EnterStage(Stage::Naming);
  isPromoteCalled_ = false;
  WriteAndThen(record, [this] {
    EnterStage(Stage::Promoting);
    CallPromote();
  });
}

void
GroupSupervisor::CallPromote()
{
  // A call that takes effect after a successor's would undo it, so it is made
  // only if the duty lasts until the call has been given up.
  if (!port_.HoldsDuty(timing_.promoteTimeout))
    return;
  isPromoteCalled_ = true;
  const std::string candidate = record_->change->candidate;
  port_.Promote(group_,
                candidate,
                timing_.promoteTimeout,
                [this, epoch = epoch_, candidate](PromoteResult aResult) {
                  port_.Log(
                    "promote_called",
                    { { "group", group_ },
                      { "candidate", candidate },
                      { "result", kPromoteResultNames.NameOf(aResult) } });
                  if (epoch == epoch_ && aResult == PromoteResult::Rejected)
                    BeginChoosing();
                });
}

void
GroupSupervisor::WatchCandidate()
{
  const Core::Instant now = scheduler_.Now();
  const std::string& candidate = record_->change->candidate;
  const bool isOverdue = now - stageSince_ > timing_.promotionRetryInterval;
  if (isOverdue || Find(candidate) == nullptr) {
    port_.Log("promotion_overdue",
              { { "group", group_ }, { "candidate", candidate } });
    BeginChoosing();
    return;
  }
  if (isProbing_ || now < nextProbe_)
    return;
  isProbing_ = true;
  nextProbe_ = now + kCandidateProbeInterval;
  port_.Probe(candidate,
              timing_.probeTimeout,
              Guard([this](const ProbeOutcome& aOutcome) {
                isProbing_ = false;
                OnCandidateProbe(aOutcome);
              }));
}

void
GroupSupervisor::OnCandidateProbe(const ProbeOutcome& aOutcome)
{
  const std::string candidate = record_->change->candidate;
  if (!aOutcome.status ||
      !LeadsInstead(*record_, candidate, *aOutcome.status)) {
    // A successor doesn't know whether its predecessor made the call.
    if (!isPromoteCalled_)
      CallPromote();
    return;
  }
  Complete(candidate, *aOutcome.status);
}

void
GroupSupervisor::Complete(const std::string& aId,
                          const Sql::DatabaseStatus& aStatus)
{
  GroupRecord record = *record_;
  record.Complete(aId, aStatus.term, aStatus.received.position);
  port_.Log("primary_change_ends",
            { { "group", group_ },
              { "primary", record.primary },
              { "term", record.term },
              { "position", aStatus.received.position } });
  WriteEnd(record);
}

void
GroupSupervisor::WriteEnd(const GroupRecord& aRecord)
{
  EnterStage(Stage::Completing);
  WriteAndThen(aRecord, [this] {
    primaryAliveAt_ = scheduler_.Now();
    Abandon();
  });
}

} // namespace Authority
