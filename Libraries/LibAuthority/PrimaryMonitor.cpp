#include <LibAuthority/PrimaryMonitor.h>

#include <algorithm>
#include <utility>

namespace Authority {

namespace {

/**
 * A primary that refuses a connection and has not replied for this long counts
 * as ended.
 */
constexpr Core::Duration kRefusalLimit = std::chrono::milliseconds(250);

/**
 * A primary is asked for its role at least this often. A former one goes on
 * answering plain reads, so that replies to statements show that it is alive,
 * but not that it is primary.
 */
constexpr Core::Duration kRoleCheckInterval = std::chrono::seconds(2);

/**
 * The minimum time between the last change of primary and a switchover. Each
 * change stops writes for most of a second, and the gain must exceed that.
 */
constexpr Core::Duration kMinSwitchoverInterval = std::chrono::seconds(15);

/**
 * How often it is checked whether a replica can take over from a leaving
 * primary, which goes on serving until then.
 */
constexpr Core::Duration kLeavingCheckInterval = std::chrono::milliseconds(200);

/**
 * The same after a change has begun. If the primary has to be kept, it serves
 * for a while before the next try.
 */
constexpr Core::Duration kLeavingRetryInterval = std::chrono::seconds(3);

} // namespace

PrimaryMonitor::PrimaryMonitor(Core::Scheduler& aScheduler,
                               SupervisorPort& aPort,
                               const SupervisedGroup& aGroup,
                               const SupervisorTiming& aTiming,
                               ChangeHandler aOnChange)
  : scheduler_(aScheduler)
  , port_(aPort)
  , group_(aGroup)
  , timing_(aTiming)
  , onChange_(std::move(aOnChange))
{
}

void
PrimaryMonitor::Interrupt()
{
  ++epoch_;
  isProbing_ = false;
  nextProbe_ = {};
}

void
PrimaryMonitor::ReportAlive(const SampleHistory::Sample& aSample)
{
  lastSeenAt_ = std::max(lastSeenAt_, aSample.sentAt);
  position_ = aSample.position;
}

void
PrimaryMonitor::RestartSilence()
{
  lastSeenAt_ = scheduler_.Now();
}

void
PrimaryMonitor::OnOtherPrimary()
{
  RestartSilence();
  position_.reset();
  noSwitchoverBefore_ = scheduler_.Now() + kMinSwitchoverInterval;
  nextLeavingCheck_ = Core::Instant::min();
  hasStayed_ = false;
  leavingSince_.reset();
}

void
PrimaryMonitor::OnGroupChanged()
{
  if (!group_.record)
    return;
  if (!IsPrimaryLeaving()) {
    hasStayed_ = true;
    leavingSince_.reset();
  } else if (hasStayed_ && !leavingSince_) {
    leavingSince_ = scheduler_.Now();
  }
}

Core::Duration
PrimaryMonitor::Silence() const
{
  return scheduler_.Now() - lastSeenAt_;
}

std::function<void(ProbeOutcome)>
PrimaryMonitor::Guard(std::function<void(const ProbeOutcome&)> aHandler)
{
  return [this, epoch = epoch_, handler = std::move(aHandler)](
           const ProbeOutcome& aOutcome) {
    if (epoch == epoch_)
      handler(aOutcome);
  };
}

bool
PrimaryMonitor::HasEligibleCandidate() const
{
  return std::any_of(group_.databases.begin(),
                     group_.databases.end(),
                     [this](const SupervisedDatabase& aEntry) {
                       // A leaving replica may be the only one that has all
                       // acknowledged commits.
                       const bool isEligible =
                         !aEntry.isLeaving || group_.KeepsAcknowledgedCommits();
                       return isEligible && aEntry.id != group_.record->primary;
                     });
}

bool
PrimaryMonitor::IsPrimaryLeaving() const
{
  const SupervisedDatabase* primary = group_.Find(group_.record->primary);
  return primary != nullptr && primary->isLeaving;
}

void
PrimaryMonitor::Check()
{
  const bool mayReplace = HasEligibleCandidate();
  if (mayReplace && port_.HasEnded(group_.record->primary)) {
    onChange_("ended", false);
    return;
  }
  const bool isLeaving = IsPrimaryLeaving();
  if (mayReplace && isLeaving && !group_.KeepsAcknowledgedCommits()) {
    onChange_("leaving", false);
    return;
  }
  if (mayReplace && Silence() > timing_.silenceLimit &&
      port_.IsUnreachableByPeers(group_.name, Silence())) {
    onChange_("silent", false);
    return;
  }
  if (isLeaving)
    ReplaceLeavingPrimary();
  else
    ConsiderSwitchover();
  ProbePrimary();
}

void
PrimaryMonitor::ProbePrimary()
{
  const Core::Instant now = scheduler_.Now();
  // Replies to statements show that the primary is alive, too.
  const bool wasSeenRecently = Silence() < timing_.probeInterval;
  const bool isDue = now >= (wasSeenRecently ? nextRoleCheck_ : nextProbe_);
  if (isProbing_ || !isDue)
    return;
  isProbing_ = true;
  nextProbe_ = now + timing_.probeInterval;
  nextRoleCheck_ = now + kRoleCheckInterval;
  port_.Probe(group_.record->primary,
              timing_.probeTimeout,
              Guard([this](const ProbeOutcome& aOutcome) {
                isProbing_ = false;
                OnPrimaryProbe(aOutcome);
              }));
}

void
PrimaryMonitor::OnPrimaryProbe(const ProbeOutcome& aOutcome)
{
  if (aOutcome.isBusy) {
    RestartSilence();
    return;
  }
  if (aOutcome.status) {
    const Sql::DatabaseStatus& status = *aOutcome.status;
    const bool leads = status.isPrimary && status.term == group_.record->term;
    if (leads) {
      RestartSilence();
      if (group_.KeepsAcknowledgedCommits())
        position_ =
          std::max(position_.value_or(status.received), status.received);
    } else if (HasEligibleCandidate() || !status.isPrimary) {
      onChange_("no_longer_primary", false);
    }
    return;
  }
  if (aOutcome.isRefused && Silence() > kRefusalLimit && HasEligibleCandidate())
    onChange_("refused", false);
}

void
PrimaryMonitor::ConsiderSwitchover()
{
  const Core::Instant now = scheduler_.Now();
  if (now < noSwitchoverBefore_ || !position_ ||
      !port_.IsOverloaded(group_.name))
    return;
  noSwitchoverBefore_ = now + timing_.probeTimeout;
  SwitchOverOnceReceived("overloaded", false);
}

void
PrimaryMonitor::ReplaceLeavingPrimary()
{
  const Core::Instant now = scheduler_.Now();
  if (now < nextLeavingCheck_ || !position_)
    return;
  nextLeavingCheck_ = now + kLeavingCheckInterval;
  const bool isOutOfUse =
    leavingSince_ && now - *leavingSince_ > timing_.leavingTime;
  SwitchOverOnceReceived("leaving", isOutOfUse);
}

void
PrimaryMonitor::SwitchOverOnceReceived(std::string_view aReason,
                                       bool aMayBeLeaving)
{
  for (const SupervisedDatabase& database : group_.databases) {
    const bool isEligible = !database.isLeaving || aMayBeLeaving;
    if (!isEligible || database.id == group_.record->primary)
      continue;
    port_.Probe(
      database.id,
      timing_.probeTimeout,
      Guard([this, aReason, needed = *position_](const ProbeOutcome& aOutcome) {
        if (!aOutcome.status || aOutcome.status->received < needed)
          return;
        noSwitchoverBefore_ = scheduler_.Now() + kMinSwitchoverInterval;
        nextLeavingCheck_ = scheduler_.Now() + kLeavingRetryInterval;
        onChange_(aReason, true);
      }));
  }
}

} // namespace Authority
