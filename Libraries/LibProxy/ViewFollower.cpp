#include <LibProxy/ViewFollower.h>

#include <LibWire/FieldReader.h>

#include <utility>

namespace Proxy {

namespace {

constexpr Core::Duration kPollWait = std::chrono::milliseconds(500);
constexpr Core::Duration kPollTimeout = std::chrono::milliseconds(1000);
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(50);

} // namespace

ViewFollower::ViewFollower(Core::Loop& aLoop,
                           Wire::HttpClient& aClient,
                           const Wire::Address& aAgent,
                           std::string aSecret)
  : loop_(aLoop)
  , client_(aClient)
  , agent_(aAgent)
  , secret_(std::move(aSecret))
{
}

void
ViewFollower::OnView(
  std::function<void(const Membership::FleetView&)> aListener)
{
  listener_ = std::move(aListener);
}

void
ViewFollower::Start()
{
  RequestView();
}

Wire::Address
ViewFollower::NextAgent()
{
  // Starts with this node's own agent. Each failure moves on to the next.
  if (failures_ == 0 || !view_ || view_->members.empty())
    return agent_;
  const std::size_t agentIndex = failures_ % (view_->members.size() + 1);
  return agentIndex == 0 ? agent_ : view_->members[agentIndex - 1].agent;
}

void
ViewFollower::RequestView()
{
  Wire::HttpCall call;
  call.target =
    "/v1/view?wait_ms=" + std::to_string(Core::ToMilliseconds(kPollWait));
  if (view_)
    call.target +=
      "&revision=" + std::to_string(view_->revision) + "&agent=" + view_->agent;
  call.secret = secret_;
  call.timeout = kPollTimeout;
  call.stallTimeout = kPollTimeout;
  requestedAt_ = loop_.Now();
  client_.Call(NextAgent(), call, [this](const Wire::HttpOutcome& aOutcome) {
    HandleReply(aOutcome);
  });
}

void
ViewFollower::HandleReply(const Wire::HttpOutcome& aOutcome)
{
  Core::Findings findings;
  Core::LastReason reason;
  std::optional<Membership::FleetView> view;
  if (aOutcome.IsOk()) {
    if (const auto body = Wire::ParseObject(aOutcome.answer.body, findings))
      view = Membership::FleetView::FromJson(*body, reason);
  }
  if (!view) {
    ++failures_;
    timer_ = loop_.After(kRetryPause, [this] { RequestView(); });
    return;
  }
  if (view->isCurrent)
    confirmedAt_ = requestedAt_;
  // Without a failed poll, the reply is from this node's own agent. After a
  // reply from another node's agent, the own agent is polled again.
  const bool isOwnAgent = failures_ == 0;
  const bool isNew =
    !view_ || view_->revision != view->revision || view_->agent != view->agent;
  // The configuration version never decreases, whichever agent reports it.
  if (view_ && view->configuration.version < view_->configuration.version)
    view->configuration = view_->configuration;
  view_ = std::move(view);
  if (isNew && listener_)
    listener_(*view_);
  if (isOwnAgent) {
    RequestView();
    return;
  }
  failures_ = 0;
  timer_ = loop_.After(kRetryPause, [this] { RequestView(); });
}

bool
ViewFollower::IsCurrent(Core::Duration aLimit) const
{
  return view_ && view_->isCurrent && loop_.Now() - confirmedAt_ <= aLimit;
}

} // namespace Proxy
