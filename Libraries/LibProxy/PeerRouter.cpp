#include "PeerRouter.h"

#include <LibMembership/Rendezvous.h>

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/** A member that did not answer is passed over this long. */
constexpr Core::Duration kDownTime = std::chrono::seconds(1);
/** The answer at the deadline needs this much to come back. */
constexpr Core::Duration kAnswerSlack = std::chrono::milliseconds(100);

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
  std::vector<TryHandle> stranded;
  for (const TryHandle& attempt : underway_) {
    const bool isThere =
      std::any_of(members_.begin(), members_.end(), [&](const auto& aMember) {
        return aMember.name == attempt->node;
      });
    if (!isThere)
      stranded.push_back(attempt);
  }
  for (const TryHandle& attempt : stranded) {
    attempt->mayHaveRun = true;
    SendOn(attempt);
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
PeerRouter::Choose(const Try& aTry)
{
  const auto isOpen = [&](const Membership::Member& aMember) {
    return !aTry.tried.contains(aMember.name) && !IsDown(aMember.name);
  };
  for (const Membership::Member& member : members_) {
    if (member.name == aTry.request.firstNode && isOpen(member))
      return &member;
  }
  for (const auto* member :
       Membership::RankMembers(members_, aTry.request.group)) {
    if (isOpen(*member))
      return member;
  }
  return nullptr;
}

std::string
PeerRouter::HomeOf(const std::string& aGroup)
{
  Try attempt;
  attempt.request.group = aGroup;
  const Membership::Member* home = Choose(attempt);
  return home != nullptr ? home->name : "";
}

void
PeerRouter::Route(const RoutedRequest& aRequest, RouteCallback aCallback)
{
  auto attempt = std::make_shared<Try>();
  attempt->request = aRequest;
  attempt->callback = std::move(aCallback);
  SendOn(attempt);
}

void
PeerRouter::SendOn(const TryHandle& aTry)
{
  ++aTry->round;
  const Membership::Member* next = Choose(*aTry);
  const Core::Instant now = loop_.Now();
  RouteResult result;
  result.mayHaveRun = aTry->mayHaveRun;
  if (next != nullptr && next->name == nodeName_) {
    result.end = RouteEnd::Local;
    Finish(aTry, std::move(result));
    return;
  }
  if (next == nullptr || now >= aTry->request.deadline) {
    Finish(aTry, std::move(result));
    return;
  }
  aTry->node = next->name;
  aTry->tried.insert(next->name);
  underway_.insert(aTry);
  Wire::HttpCall call;
  call.method = aTry->request.method;
  call.target = TargetOf(aTry->request, now, aTry->mayHaveRun);
  call.body = aTry->request.body;
  call.secret = secret_;
  call.timeout = aTry->request.deadline - now + kAnswerSlack;
  client_.Call(
    next->peers,
    call,
    [this, attempt = aTry, round = aTry->round](Wire::HttpOutcome aOutcome) {
      if (!attempt->isDone && attempt->round == round)
        TakeOutcome(attempt, std::move(aOutcome));
    });
}

void
PeerRouter::TakeOutcome(const TryHandle& aTry, Wire::HttpOutcome aOutcome)
{
  if (aOutcome.delivery == Wire::Delivery::Answered) {
    RouteResult result;
    result.end = RouteEnd::Answered;
    result.answer = std::move(aOutcome.answer);
    result.mayHaveRun = aTry->mayHaveRun;
    Finish(aTry, std::move(result));
    return;
  }
  // A request that reached its deadline says little of its home, which may
  // just be busy; whether the member is alive is for the agents to find out.
  if (aOutcome.delivery != Wire::Delivery::TimedOut)
    downUntil_[aTry->node] = loop_.Now() + kDownTime;
  if (aOutcome.delivery != Wire::Delivery::NotSent)
    aTry->mayHaveRun = true;
  SendOn(aTry);
}

void
PeerRouter::Finish(const TryHandle& aTry, RouteResult aResult)
{
  aTry->isDone = true;
  underway_.erase(aTry);
  const RouteCallback callback = std::exchange(aTry->callback, nullptr);
  callback(std::move(aResult));
}

} // namespace Proxy
