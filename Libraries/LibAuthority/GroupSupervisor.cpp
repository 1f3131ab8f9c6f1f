#include <LibAuthority/GroupSupervisor.h>

#include <algorithm>
#include <utility>

namespace Authority {

namespace {

/** The interval between log lines about a choice that lacks replies. */
constexpr Core::Duration kWaitReportInterval = std::chrono::seconds(5);

/**
 * How long a switchover waits for a replica to receive the old primary's
 * complete log. A replica that receives at all has it within milliseconds, but
 * the primary may first have to process statements that were sent earlier.
 */
constexpr Core::Duration kSwitchoverChoiceTimeout =
  std::chrono::milliseconds(1500);

/**
 * The interval between the beginnings of surveys, while they find no primary or
 * their result can't be written.
 */
constexpr Core::Duration kSurveyInterval = std::chrono::milliseconds(500);

/** A stage whose write got no reply is abandoned after this. */
constexpr Core::Duration kStageTimeout = std::chrono::seconds(3);

} // namespace

GroupSupervisor::GroupSupervisor(Core::Scheduler& aScheduler,
                                 SupervisorPort& aPort,
                                 std::string aGroup,
                                 SupervisorTiming aTiming)
  : scheduler_(aScheduler)
  , port_(aPort)
  , timing_(aTiming)
  , group_{ std::move(aGroup) }
  , poll_(scheduler_, port_, group_, timing_)
  , monitor_(scheduler_,
             port_,
             group_,
             timing_,
             [this](std::string_view aReason, bool aIsSwitchover) {
               BeginChange(aReason, aIsSwitchover);
             })
  , logHolders_(
      scheduler_,
      port_,
      group_,
      timing_,
      [this](const GroupRecord& aRecord) { WriteLogHolders(aRecord); })
  , promotion_(scheduler_,
               port_,
               group_,
               timing_,
               { [this](const Sql::DatabaseStatus& aStatus) {
                  Complete(group_.record->change->candidate, aStatus);
                },
                 [this] { BeginChoosing(); } })
{
}

void
GroupSupervisor::SetDatabases(std::vector<SupervisedDatabase> aDatabases)
{
  for (const SupervisedDatabase& database : aDatabases) {
    const SupervisedDatabase* known = group_.Find(database.id);
    if (known == nullptr || known->startedAt != database.startedAt)
      poll_.Forget(database.id);
  }
  group_.databases = std::move(aDatabases);
  monitor_.OnGroupChanged();
}

void
GroupSupervisor::SetRecord(const std::optional<GroupRecord>& aRecord)
{
  if (group_.record && aRecord && aRecord->version < group_.record->version)
    return;
  const bool isOtherPrimary =
    group_.record && aRecord && aRecord->primary != group_.record->primary;
  const bool isNewVersion =
    group_.record && aRecord && aRecord->version > group_.record->version;
  group_.record = aRecord;
  if (isOtherPrimary)
    monitor_.OnOtherPrimary();
  monitor_.OnGroupChanged();
  const bool isWriting = stage_ == Stage::WritingChange ||
                         stage_ == Stage::WritingCandidate ||
                         stage_ == Stage::WritingEnd;
  // Another node has continued the change; restart from its record.
  if (isNewVersion && stage_ != Stage::Monitoring && !isWriting)
    Abandon();
}

void
GroupSupervisor::ReportPrimaryAlive(const SampleHistory::Sample& aSample)
{
  monitor_.ReportAlive(aSample);
}

void
GroupSupervisor::EnterStage(Stage aStage)
{
  stage_ = aStage;
  stageSince_ = scheduler_.Now();
  ++epoch_;
  isChoiceWaiting_ = false;
  monitor_.Interrupt();
  logHolders_.Interrupt();
  promotion_.Interrupt();
}

void
GroupSupervisor::Abandon()
{
  EnterStage(Stage::Monitoring);
  poll_.Reset();
  stepDownPosition_.reset();
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
    if (heldDuty_)
      Abandon();
    heldDuty_ = false;
    return;
  }
  if (!heldDuty_)
    monitor_.RestartSilence();
  heldDuty_ = true;
  switch (stage_) {
    case Stage::Monitoring:
      if (group_.record && group_.record->change)
        ContinueChange();
      else if (!group_.record || !group_.record->IsOfCurrentEra())
        BeginSurvey();
      else
        Monitor();
      return;
    case Stage::Surveying:
      poll_.Tick();
      CheckSurvey();
      return;
    case Stage::Fencing:
      CheckFence();
      return;
    case Stage::Choosing:
      poll_.Tick();
      TryChooseCandidate();
      return;
    case Stage::Promoting:
      promotion_.Tick();
      return;
    case Stage::WritingChange:
    case Stage::WritingCandidate:
    case Stage::WritingEnd:
      // The write got no reply. The stored record shows whether it took effect.
      if (now - stageSince_ > kStageTimeout)
        Abandon();
      return;
  }
}

void
GroupSupervisor::Monitor()
{
  monitor_.Check();
  if (stage_ == Stage::Monitoring)
    logHolders_.Check();
}

void
GroupSupervisor::BeginSurvey()
{
  if (scheduler_.Now() < nextSurvey_)
    return;
  nextSurvey_ = scheduler_.Now() + kSurveyInterval;
  EnterStage(Stage::Surveying);
  poll_.Reset();
  poll_.Tick();
}

void
GroupSupervisor::CheckSurvey()
{
  const bool isTimedOut =
    scheduler_.Now() - stageSince_ > timing_.choiceTimeout;
  // The record that can't be read any more may have named a database that
  // doesn't reply now, so that all must.
  const bool mayLackReplies =
    isTimedOut && !port_.VersionOfUnreadableRow(group_.name);
  const SurveyResult result = AssessPrimary(
    { group_.record, group_.databases, poll_.Statuses(), mayLackReplies });
  switch (result.decision) {
    case SurveyDecision::Wait:
      if (isTimedOut)
        Abandon();
      return;
    case SurveyDecision::RecordFirst:
      RecordFirst(result.database);
      return;
    case SurveyDecision::ConfirmRecord:
      ConfirmRecord();
      return;
    case SurveyDecision::ReplacePrimary:
      BeginChange("no_longer_primary");
  }
}

void
GroupSupervisor::RecordFirst(const std::string& aPrimary)
{
  port_.Log("group_first_primary",
            { { "group", group_.name }, { "database", aPrimary } });
  GroupRecord record;
  record.group = group_.name;
  record.primary = aPrimary;
  record.term = poll_.Statuses().at(aPrimary).term;
  record.version = port_.VersionOfUnreadableRow(group_.name)
                     .value_or(port_.VersionOfMissingRow());
  WriteEnd(record);
}

void
GroupSupervisor::ConfirmRecord()
{
  port_.Log("group_record_confirmed",
            { { "group", group_.name },
              { "primary", group_.record->primary },
              { "term", group_.record->term } });
  // The primary may be silent, so this doesn't count as a reply of it.
  EnterStage(Stage::WritingEnd);
  WriteAndThen(*group_.record, [this] { Abandon(); });
}

void
GroupSupervisor::WriteLogHolders(GroupRecord aRecord)
{
  aRecord.basis = aRecord.version;
  port_.WriteRecord(aRecord,
                    [this, record = aRecord](const WriteOutcome& aOutcome) {
                      if (aOutcome.result != WriteResult::Applied)
                        return;
                      GroupRecord written = record;
                      written.version = aOutcome.version;
                      SetRecord(written);
                    });
}

void
GroupSupervisor::WriteAndThen(GroupRecord aRecord, std::function<void()> aNext)
{
  aRecord.basis = aRecord.version;
  aRecord.isOverwritten = false;
  aRecord.syncReplicas = group_.SyncReplicas();
  aRecord.logHolders = group_.LogHolders();
  port_.WriteRecord(
    aRecord,
    [this, epoch = epoch_, record = aRecord, next = std::move(aNext)](
      const WriteOutcome& aOutcome) {
      if (epoch != epoch_)
        return;
      if (aOutcome.result != WriteResult::Applied) {
        port_.Log("group_record_not_written",
                  { { "group", group_.name },
                    { "result", kWriteResultNames.NameOf(aOutcome.result) } });
        // Continues from the stored record once it is known.
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
GroupSupervisor::BeginChange(std::string_view aReason, bool aIsSwitchover)
{
  port_.Log("primary_change_begins",
            { { "group", group_.name },
              { "primary", group_.record->primary },
              { "term", group_.record->term },
              { "reason", aReason },
              { "silent_ms", Core::ToMilliseconds(monitor_.Silence()) } });
  GroupRecord record = *group_.record;
  record.change = PrimaryChange{ .isSwitchover = aIsSwitchover };
  EnterStage(Stage::WritingChange);
  WriteAndThen(record, [this] { BeginFencing(); });
}

void
GroupSupervisor::ContinueChange()
{
  // A restored change may have ended, and its candidate may have been replaced.
  // It begins anew, so that the candidate is chosen by what the databases say.
  if (group_.record->IsOfCurrentEra())
    BeginFencing();
  else
    BeginChange("change_restored", group_.record->change->isSwitchover);
}

void
GroupSupervisor::BeginFencing()
{
  EnterStage(Stage::Fencing);
  poll_.Reset();
  stepDownPosition_.reset();
  port_.StepDown(group_.record->primary,
                 group_.record->term + 1,
                 timing_.probeTimeout,
                 Guard([this](const ProbeOutcome& aOutcome) {
                   if (!aOutcome.status || aOutcome.status->isPrimary)
                     return;
                   stepDownPosition_ = aOutcome.status->received;
                 }));
  port_.RevokeEverywhere(*group_.record, [this, epoch = epoch_] {
    if (epoch == epoch_)
      OnFenced("revoked");
  });
}

void
GroupSupervisor::CheckFence()
{
  if (port_.HasEnded(group_.record->primary)) {
    OnFenced("ended");
    return;
  }
  // A database that has stepped down refuses everything that may write, so only
  // the lease for plain reads has to expire.
  const Core::Duration lease = stepDownPosition_
                                 ? timing_.authorityLease.plainReads
                                 : timing_.authorityLease.fenced;
  if (scheduler_.Now() - stageSince_ > lease + timing_.clockMargin)
    OnFenced(stepDownPosition_ ? "stepped_down" : "waited");
}

void
GroupSupervisor::OnFenced(std::string_view aHow)
{
  port_.Log(
    "primary_fenced",
    { { "group", group_.name },
      { "primary", group_.record->primary },
      { "how", aHow },
      { "after_ms", Core::ToMilliseconds(scheduler_.Now() - stageSince_) } });
  if (group_.record->change->candidate.empty()) {
    BeginChoosing();
    return;
  }
  EnterStage(Stage::Promoting);
  promotion_.Resume();
}

void
GroupSupervisor::BeginChoosing()
{
  EnterStage(Stage::Choosing);
  poll_.Reset();
  poll_.Tick();
}

void
GroupSupervisor::TryChooseCandidate()
{
  // With synchronous replicas, the time limits only the wait for a better
  // choice among logs that are known to be complete.
  const bool waitsForLog =
    group_.record->change->isSwitchover && !group_.KeepsAcknowledgedCommits();
  const Core::Duration limit =
    waitsForLog ? kSwitchoverChoiceTimeout : timing_.choiceTimeout;
  const bool isTimedOut = scheduler_.Now() - stageSince_ > limit;
  const CandidateChoice choice = ChooseCandidate({ group_,
                                                   poll_.Statuses(),
                                                   stepDownPosition_,
                                                   isTimedOut,
                                                   monitor_.Position() });
  switch (choice.decision) {
    case CandidateDecision::Wait:
      if (isTimedOut && group_.KeepsAcknowledgedCommits())
        WaitForSilentDatabases();
      return;
    case CandidateDecision::Promote:
      WriteCandidate(choice.database);
      return;
    case CandidateDecision::LeadsAlready:
      Complete(choice.database, poll_.Statuses().at(choice.database));
      return;
    case CandidateDecision::KeepPrimary:
      KeepPrimary();
  }
}

void
GroupSupervisor::WaitForSilentDatabases()
{
  const Core::Instant now = scheduler_.Now();
  isChoiceWaiting_ = true;
  poll_.SlowDown();
  if (now < nextWaitReport_)
    return;
  nextWaitReport_ = now + kWaitReportInterval;
  boost::json::object facts{ { "group", group_.name },
                             { "sync_replicas", group_.SyncReplicas() } };
  poll_.AddPositions(facts);
  port_.Log("candidate_choice_waits", std::move(facts));
}

void
GroupSupervisor::KeepPrimary()
{
  port_.Log("primary_change_cancelled", { { "group", group_.name } });
  GroupRecord record = *group_.record;
  record.change.reset();
  WriteEnd(record);
}

void
GroupSupervisor::WriteCandidate(const std::string& aCandidate)
{
  GroupRecord record = *group_.record;
  record.change->candidate = aCandidate;
  boost::json::object facts{ { "group", group_.name },
                             { "candidate", aCandidate } };
  poll_.AddPositions(facts);
  port_.Log("candidate_chosen", std::move(facts));
  EnterStage(Stage::WritingCandidate);
  WriteAndThen(record, [this] {
    EnterStage(Stage::Promoting);
    promotion_.Begin();
  });
}

void
GroupSupervisor::Complete(const std::string& aId,
                          const Sql::DatabaseStatus& aStatus)
{
  GroupRecord record = *group_.record;
  record.Complete(aId, aStatus.term, aStatus.received.position);
  port_.Log("primary_change_ends",
            { { "group", group_.name },
              { "primary", record.primary },
              { "term", record.term },
              { "position", aStatus.received.position } });
  WriteEnd(record);
}

void
GroupSupervisor::WriteEnd(const GroupRecord& aRecord)
{
  EnterStage(Stage::WritingEnd);
  WriteAndThen(aRecord, [this] {
    monitor_.RestartSilence();
    Abandon();
  });
}

} // namespace Authority
