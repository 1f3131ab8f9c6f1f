#pragma once

#include <LibAuthority/SupervisedGroup.h>
#include <LibAuthority/SupervisorPort.h>
#include <LibCore/Scheduler.h>

#include <functional>

namespace Authority {

/** Promotes the candidate that the group's record names. */
class CandidatePromotion
{
public:
  struct Handlers
  {
    /** The candidate is primary. */
    std::function<void(const Sql::DatabaseStatus&)> onLeads;
    /** The promotion was rejected, had no effect, or its candidate is gone. */
    std::function<void()> onFailed;
  };

  /** Refers to aGroup and aTiming, which must outlive this object. */
  CandidatePromotion(Core::Scheduler& aScheduler,
                     SupervisorPort& aPort,
                     const SupervisedGroup& aGroup,
                     const SupervisorTiming& aTiming,
                     Handlers aHandlers);

  /** Requests the promotion. */
  void Begin();
  /**
   * Continues a promotion that a previous holder of the duty may have
   * requested: it is requested once the candidate's reply shows no effect.
   */
  void Resume();
  /** Runs due actions. */
  void Tick();
  /** Ignores the results of pending requests. */
  void Interrupt() { ++epoch_; }

private:
  void Start();
  void Request();
  void ProbeCandidate();
  void OnProbe(const ProbeOutcome& aOutcome);
  const std::string& Candidate() const
  {
    return group_.record->change->candidate;
  }

  Core::Scheduler& scheduler_;
  SupervisorPort& port_;
  const SupervisedGroup& group_;
  const SupervisorTiming& timing_;
  Handlers handlers_;
  /** Incremented by each start and interruption. */
  std::uint64_t epoch_ = 0;
  Core::Instant startedAt_{};
  Core::Instant nextProbe_{};
  bool isProbing_ = false;
  bool isRequested_ = false;
};

} // namespace Authority
