#include "PeerRouter.h"

#include <LibMembership/Rendezvous.h>

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/** How long a member that did not respond is skipped. */
constexpr Core::Duration kMemberDownTime = std::chrono::seconds(1);
/** Time for a reply that is sent at the deadline to arrive. */
constexpr Core::Duration kReplyMargin = std::chrono::milliseconds(100);

std::string
TargetOf(const RoutedRequest& aRequest, Core::Instant aNow, bool aMayHaveRun)
{
  const Core::Duration left =
    std::max(aRequest.deadline - aNow, Core::Duration(1000));
  return aRequest.path +
         "?within_ms=" + std::to_string(Core::ToMilliseconds(left)) +
         (aMayHaveRun ? "&repeat=1" : "");
}

} // namespace

PeerRouter::PeerRouter(Core::Loop& aLoop,
                       Wire::HttpClient& aClient,
                       std::string aNodeName,
                       std::string aSecret)
  : loop_(aLoop)
  , client_(aClient)
  , nodeName_(std::move(aNodeName))
  , secret_(std::move(aSecret))
{
}

void
PeerRouter::SetMembers(const std::vector<Membership::Member>& aMembers)
{
  members_ = aMembers;
  std::vector<AttemptHandle> orphaned;
  for (const AttemptHandle& attempt : inFlight_) {
    const bool isMember =
      std::any_of(members_.begin(), members_.end(), [&](const auto& aMember) {
        return aMember.name == attempt->node;
      });
    if (!isMember)
      orphaned.push_back(attempt);
  }
  for (const AttemptHandle& attempt : orphaned) {
    attempt->mayHaveRun = true;
    SendToNext(attempt);
  }
}

bool
PeerRouter::IsDown(const std::string& aNode)
{
  const auto found = downUntil_.find(aNode);
  if (found == downUntil_.end())
    return false;
  if (found->second > loop_.Now())
    return true;
  downUntil_.erase(found);
  return false;
}

const Membership::Member*
PeerRouter::Choose(const ForwardAttempt& aAttempt)
{
  const auto isEligible = [&](const Membership::Member& aMember) {
    return !aAttempt.tried.contains(aMember.name) && !IsDown(aMember.name);
  };
  for (const Membership::Member& member : members_) {
    if (member.name == aAttempt.request.firstNode && isEligible(member))
      return &member;
  }
  for (const auto* member :
       Membership::RankMembers(members_, aAttempt.request.group)) {
    if (isEligible(*member))
      return member;
  }
  return nullptr;
}

std::string
PeerRouter::HomeOf(const std::string& aGroup)
{
  ForwardAttempt attempt;
  attempt.request.group = aGroup;
  const Membership::Member* home = Choose(attempt);
  return home != nullptr ? home->name : "";
}

void
PeerRouter::Route(const RoutedRequest& aRequest, RouteCallback aCallback)
{
  auto attempt = std::make_shared<ForwardAttempt>();
  attempt->request = aRequest;
  attempt->callback = std::move(aCallback);
  SendToNext(attempt);
}

void
PeerRouter::SendToNext(const AttemptHandle& aAttempt)
{
  ++aAttempt->sendNumber;
  const Membership::Member* next = Choose(*aAttempt);
  const Core::Instant now = loop_.Now();
  RouteResult result;
  result.mayHaveRun = aAttempt->mayHaveRun;
  if (next != nullptr && next->name == nodeName_) {
    result.outcome = RouteOutcome::Local;
    Finish(aAttempt, std::move(result));
    return;
  }
  if (next == nullptr || now >= aAttempt->request.deadline) {
    Finish(aAttempt, std::move(result));
    return;
  }
  aAttempt->node = next->name;
  aAttempt->tried.insert(next->name);
  inFlight_.insert(aAttempt);
  Wire::HttpCall call;
  call.method = aAttempt->request.method;
  call.target = TargetOf(aAttempt->request, now, aAttempt->mayHaveRun);
  call.body = aAttempt->request.body;
  call.secret = secret_;
  call.timeout = aAttempt->request.deadline - now + kReplyMargin;
  client_.Call(next->peers,
               call,
               [this, attempt = aAttempt, sendNumber = aAttempt->sendNumber](
                 Wire::HttpOutcome aOutcome) {
                 if (!attempt->isDone && attempt->sendNumber == sendNumber)
                   HandleOutcome(attempt, std::move(aOutcome));
               });
}

void
PeerRouter::HandleOutcome(const AttemptHandle& aAttempt,
                          Wire::HttpOutcome aOutcome)
{
  if (aOutcome.delivery == Wire::Delivery::Answered) {
    RouteResult result;
    result.outcome = RouteOutcome::Answered;
    result.answer = std::move(aOutcome.answer);
    result.mayHaveRun = aAttempt->mayHaveRun;
    Finish(aAttempt, std::move(result));
    return;
  }
  // A timeout does not mark the home as down: it may only be busy. Detecting
  // failed members is the task of the agents.
  if (aOutcome.delivery != Wire::Delivery::TimedOut)
    downUntil_[aAttempt->node] = loop_.Now() + kMemberDownTime;
  if (aOutcome.delivery != Wire::Delivery::NotSent)
    aAttempt->mayHaveRun = true;
  SendToNext(aAttempt);
}

void
PeerRouter::Finish(const AttemptHandle& aAttempt, RouteResult aResult)
{
  aAttempt->isDone = true;
  inFlight_.erase(aAttempt);
  const RouteCallback callback = std::exchange(aAttempt->callback, nullptr);
  callback(std::move(aResult));
}

} // namespace Proxy
