#pragma once

#include <LibCore/Loop.h>
#include <LibMembership/FleetView.h>
#include <LibWire/HttpClient.h>

#include <functional>
#include <optional>
#include <vector>

namespace Proxy {

/**
 * Keeps the view of the fleet current by long polls of this node's own agent.
 * While that agent does not respond, polls the agents of other nodes.
 */
class ViewFollower
{
public:
  ViewFollower(Core::Loop& aLoop,
               Wire::HttpClient& aClient,
               const Wire::Address& aAgent,
               std::string aSecret);

  /** Sets the listener to call with each new view. */
  void OnView(std::function<void(const Membership::FleetView&)> aListener);
  void Start();

  const std::optional<Membership::FleetView>& View() const { return view_; }

  /**
   * Returns true if the last view was marked current by its agent and was
   * requested at most aLimit ago.
   */
  bool IsCurrent(Core::Duration aLimit) const;

private:
  void RequestView();
  void HandleReply(const Wire::HttpOutcome& aOutcome);
  Wire::Address NextAgent();

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  Wire::Address agent_;
  std::string secret_;
  std::function<void(const Membership::FleetView&)> listener_;
  std::optional<Membership::FleetView> view_;
  /** When the last view that was marked current was requested. */
  Core::Instant confirmedAt_;
  Core::Instant requestedAt_;
  /** Consecutive failed polls; selects the agent to poll next. */
  std::size_t failures_ = 0;
  Core::TimerHandle timer_;
};

} // namespace Proxy
