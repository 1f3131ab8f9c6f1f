#include <LibAuthority/CandidateChoice.h>
#include <LibAuthority/CandidatePromotion.h>

#include <utility>

namespace Authority {

namespace {

/** The interval between health checks of the candidate. */
constexpr Core::Duration kProbeInterval = std::chrono::milliseconds(40);

} // namespace

CandidatePromotion::CandidatePromotion(Core::Scheduler& aScheduler,
                                       SupervisorPort& aPort,
                                       const SupervisedGroup& aGroup,
                                       const SupervisorTiming& aTiming,
                                       Handlers aHandlers)
  : scheduler_(aScheduler)
  , port_(aPort)
  , group_(aGroup)
  , timing_(aTiming)
  , handlers_(std::move(aHandlers))
{
}

void
CandidatePromotion::Start()
{
  ++epoch_;
  startedAt_ = scheduler_.Now();
  nextProbe_ = {};
  isProbing_ = false;
  isRequested_ = false;
}

void
CandidatePromotion::Begin()
{
  Start();
  Request();
}

void
CandidatePromotion::Resume()
{
  Start();
}

void
CandidatePromotion::Request()
{
  // If this request took effect after one of the next holder of the duty, it
  // would undo that promotion. So it is sent only if this node holds the
  // failover duty until the request times out.
  if (!port_.HoldsDuty(timing_.promoteTimeout))
    return;
  isRequested_ = true;
  port_.Promote(
    group_.name,
    Candidate(),
    timing_.promoteTimeout,
    [this, epoch = epoch_, candidate = Candidate()](PromoteResult aResult) {
      port_.Log("promote_called",
                { { "group", group_.name },
                  { "candidate", candidate },
                  { "result", kPromoteResultNames.NameOf(aResult) } });
      if (epoch == epoch_ && aResult == PromoteResult::Rejected)
        handlers_.onFailed();
    });
}

void
CandidatePromotion::Tick()
{
  const Core::Instant now = scheduler_.Now();
  const bool isOverdue = now - startedAt_ > timing_.promotionRetryInterval;
  if (isOverdue || group_.Find(Candidate()) == nullptr) {
    port_.Log("promotion_overdue",
              { { "group", group_.name }, { "candidate", Candidate() } });
    handlers_.onFailed();
    return;
  }
  if (!isProbing_ && now >= nextProbe_)
    ProbeCandidate();
}

void
CandidatePromotion::ProbeCandidate()
{
  isProbing_ = true;
  nextProbe_ = scheduler_.Now() + kProbeInterval;
  port_.Probe(Candidate(),
              timing_.probeTimeout,
              [this, epoch = epoch_](const ProbeOutcome& aOutcome) {
                if (epoch != epoch_)
                  return;
                isProbing_ = false;
                OnProbe(aOutcome);
              });
}

void
CandidatePromotion::OnProbe(const ProbeOutcome& aOutcome)
{
  const bool isPrimary =
    aOutcome.status &&
    IsNewPrimary(*group_.record, Candidate(), *aOutcome.status);
  if (isPrimary)
    handlers_.onLeads(*aOutcome.status);
  else if (!isRequested_)
    Request();
}

} // namespace Authority
