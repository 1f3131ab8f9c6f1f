#pragma once

#include <LibAuthority/SampleHistory.h>
#include <LibAuthority/SupervisedGroup.h>
#include <LibAuthority/SupervisorPort.h>
#include <LibCore/Scheduler.h>

#include <functional>
#include <optional>
#include <string_view>

namespace Authority {

/**
 * Detects that a group's recorded primary has to be replaced: it has ended, is
 * about to leave, doesn't reply, is no longer primary, or is overloaded while a
 * replica has its complete log.
 */
class PrimaryMonitor
{
public:
  /** Receives the reason for a change, and whether it is a switchover. */
  using ChangeHandler =
    std::function<void(std::string_view aReason, bool aIsSwitchover)>;

  /**
   * Refers to aGroup and aTiming, which must outlive this object. aOnChange may
   * be called from Check or from a reply of a database, until Interrupt is
   * called.
   */
  PrimaryMonitor(Core::Scheduler& aScheduler,
                 SupervisorPort& aPort,
                 const SupervisedGroup& aGroup,
                 const SupervisorTiming& aTiming,
                 ChangeHandler aOnChange);

  /** Checks the primary; requires a record. To be called regularly. */
  void Check();
  /** Ignores the results of pending health checks. */
  void Interrupt();

  /** Processes a reply of the primary with its log position. */
  void ReportAlive(const SampleHistory::Sample& aSample);
  /** Counts the primary's silence from now on. */
  void RestartSilence();
  /** Reports that another database has become primary. */
  void OnOtherPrimary();
  /** Reports that the group's record or databases may have changed. */
  void OnGroupChanged();
  /** The end of the primary's log as last known to this node. */
  const std::optional<Session::LogPosition>& Position() const
  {
    return position_;
  }
  /** How long the primary has not replied. */
  Core::Duration Silence() const;

private:
  void ProbePrimary();
  void OnPrimaryProbe(const ProbeOutcome& aOutcome);
  void ConsiderSwitchover();
  /**
   * In a group with synchronous replicas: keeps a leaving primary in use until
   * a replica that stays can take over. Once nodes may not use the primary any
   * more, a leaving replica will do: the primary may end at any moment, and the
   * others receive the log only from one that leads.
   */
  void ReplaceLeavingPrimary();
  /**
   * Begins a switchover if an eligible replica has received the log up to the
   * primary's last known position. Promoting one that does not receive the log
   * would lose commits.
   */
  void SwitchOverOnceReceived(std::string_view aReason, bool aMayBeLeaving);
  bool IsPrimaryLeaving() const;
  bool HasEligibleCandidate() const;
  /** Wraps a handler to ignore results of checks before an interruption. */
  std::function<void(ProbeOutcome)> Guard(
    std::function<void(const ProbeOutcome&)> aHandler);

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  const SupervisedGroup& group_;
  const SupervisorTiming& timing_;
  ChangeHandler onChange_;

  /** Incremented by each interruption. */
  std::uint64_t epoch_ = 0;
  bool isProbing_ = false;
  Core::Instant nextProbe_{};
  /** The next probe while statements are answered. */
  Core::Instant nextRoleCheck_{};
  Core::Instant lastSeenAt_{};
  /** The end of the primary's log in its latest reply. */
  std::optional<Session::LogPosition> position_;
  Core::Instant noSwitchoverBefore_ = Core::Instant::min();
  Core::Instant nextLeavingCheck_ = Core::Instant::min();
  /** The primary has been listed as staying since it became primary. */
  bool hasStayed_ = false;
  /**
   * When the primary was listed as leaving; none if it already was when it
   * became primary. That one is replaced only by a replica that stays, so that
   * leaving databases don't take over from each other.
   */
  std::optional<Core::Instant> leavingSince_;
};

} // namespace Authority
