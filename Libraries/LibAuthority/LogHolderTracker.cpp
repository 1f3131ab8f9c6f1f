#include <LibAuthority/LogHolderTracker.h>

#include <utility>

namespace Authority {

namespace {

constexpr Core::Duration kRoundInterval = std::chrono::milliseconds(500);

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
  round_->listed = std::move(aListed);
  port_.Probe(group_.record->primary,
              timing_.probeTimeout,
              [this, round = round_](const ProbeOutcome& aOutcome) {
                if (round == round_ && aOutcome.status)
                  OnPrimaryStatus(round, *aOutcome.status);
              });
}

void
LogHolderTracker::OnPrimaryStatus(const std::shared_ptr<Round>& aRound,
                                  const Sql::DatabaseStatus& aStatus)
{
  if (aStatus.isPrimary && aStatus.term == group_.record->term)
    AskReplicas(aRound, aStatus.received);
}

void
LogHolderTracker::AskReplicas(const std::shared_ptr<Round>& aRound,
                              const Session::LogPosition& aNeeded)
{
  for (const LogHolder& holder : aRound->listed) {
    if (holder.id == group_.record->primary)
      continue;
    port_.Probe(holder.id,
                timing_.probeTimeout,
                [this, round = aRound, aNeeded](const ProbeOutcome& aOutcome) {
                  if (round == round_ && aOutcome.status &&
                      aOutcome.status->received >= aNeeded)
                    OnReceived(*round);
                });
  }
}

void
LogHolderTracker::OnReceived(Round& aRound)
{
  if (++aRound.received == group_.SyncReplicas())
    Write(MergeHolders(aRound.listed, group_.ListedHolders()));
}

} // namespace Authority
