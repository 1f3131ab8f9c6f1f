#include <LibAuthority/LogHolderTracker.h>

#include <utility>

namespace Authority {

namespace {

/** Longer than a round takes while a database doesn't answer. */
constexpr Core::Duration kRoundInterval = std::chrono::seconds(1);

/** A write without an effect is repeated after this. */
constexpr Core::Duration kWriteInterval = std::chrono::seconds(1);

} // namespace

LogHolderTracker::LogHolderTracker(Core::Scheduler& aScheduler,
                                   SupervisorPort& aPort,
                                   const SupervisedGroup& aGroup,
                                   const SupervisorTiming& aTiming,
                                   WriteHandler aWrite)
  : scheduler_(aScheduler)
  , port_(aPort)
  , group_(aGroup)
  , timing_(aTiming)
  , write_(std::move(aWrite))
{
}

void
LogHolderTracker::Check()
{
  const GroupRecord& record = *group_.record;
  if (record.syncReplicas != group_.SyncReplicas() ||
      record.logHolders != group_.LogHolders()) {
    Write(group_.LogHolders());
    return;
  }
  std::vector<LogHolder> listed = group_.ListedHolders();
  if (listed.size() < record.logHolders.size() &&
      scheduler_.Now() >= nextRound_)
    BeginRound(std::move(listed));
}

void
LogHolderTracker::Write(std::vector<LogHolder> aHolders)
{
  const Core::Instant now = scheduler_.Now();
  if (now < nextWrite_)
    return;
  nextWrite_ = now + kWriteInterval;
  GroupRecord record = *group_.record;
  record.syncReplicas = group_.SyncReplicas();
  record.logHolders = std::move(aHolders);
  write_(std::move(record));
}

void
LogHolderTracker::BeginRound(std::vector<LogHolder> aListed)
{
  nextRound_ = scheduler_.Now() + kRoundInterval;
  round_ = std::make_shared<Round>();
  round_->present = std::move(aListed);
  std::vector<LogHolder> unlisted;
  for (const LogHolder& holder : group_.record->logHolders) {
    // A database that is listed again has restarted; the former process ended.
    if (group_.Find(holder.id) == nullptr)
      unlisted.push_back(holder);
  }
  round_->pending = static_cast<int>(unlisted.size());
  for (const LogHolder& holder : unlisted) {
    port_.ProbeUnlisted(
      holder.id,
      timing_.probeTimeout,
      [this, round = round_, holder](const ProbeOutcome& aOutcome) {
        if (round == round_)
          OnUnlistedProbe(round, holder, aOutcome);
      });
  }
  if (unlisted.empty())
    AskPrimary(round_);
}

void
LogHolderTracker::OnUnlistedProbe(const RoundHandle& aRound,
                                  const LogHolder& aHolder,
                                  const ProbeOutcome& aOutcome)
{
  if (aOutcome.status || aOutcome.isBusy)
    aRound->present.push_back(aHolder);
  const bool isLast = --aRound->pending == 0;
  const bool isOneGone =
    aRound->present.size() < group_.record->logHolders.size();
  if (isLast && isOneGone)
    AskPrimary(aRound);
}

void
LogHolderTracker::AskPrimary(const RoundHandle& aRound)
{
  port_.Probe(group_.record->primary,
              timing_.probeTimeout,
              [this, round = aRound](const ProbeOutcome& aOutcome) {
                if (round == round_ && aOutcome.status)
                  OnPrimaryStatus(round, *aOutcome.status);
              });
}

void
LogHolderTracker::OnPrimaryStatus(const RoundHandle& aRound,
                                  const Sql::DatabaseStatus& aStatus)
{
  if (!aStatus.isPrimary || aStatus.term != group_.record->term)
    return;
  for (const SupervisedDatabase& database : group_.databases) {
    if (database.id == group_.record->primary)
      continue;
    port_.Probe(database.id,
                timing_.probeTimeout,
                [this, round = aRound, needed = aStatus.received](
                  const ProbeOutcome& aOutcome) {
                  if (round == round_ && aOutcome.status)
                    OnReplicaStatus(*round, needed, *aOutcome.status);
                });
  }
}

void
LogHolderTracker::OnReplicaStatus(Round& aRound,
                                  const Session::LogPosition& aNeeded,
                                  const Sql::DatabaseStatus& aStatus)
{
  if (aStatus.received < aNeeded)
    return;
  if (++aRound.received == group_.SyncReplicas())
    Write(MergeHolders(aRound.present, group_.ListedHolders()));
}

} // namespace Authority
