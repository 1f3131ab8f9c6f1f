#pragma once

#include <LibCore/Loop.h>
#include <LibMembership/FleetView.h>
#include <LibWire/HttpClient.h>

#include <functional>
#include <optional>
#include <vector>

namespace Proxy {

/**
 * Keeps the fleet's view current by long poll of the node's own agent, and of
 * other nodes' agents while that one does not answer.
 */
class ViewFollower
{
public:
  ViewFollower(Core::Loop& aLoop,
               Wire::HttpClient& aClient,
               const Wire::Address& aAgent,
               std::string aSecret);

  /** Called with each new view. */
  void OnView(std::function<void(const Membership::FleetView&)> aListener);
  void Start();

  const std::optional<Membership::FleetView>& View() const { return view_; }

  /** True when a view says it is current and came within aLimit. */
  bool IsCurrent(Core::Duration aLimit) const;

private:
  void Ask();
  void TakeAnswer(const Wire::HttpOutcome& aOutcome);
  Wire::Address NextAgent();

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  Wire::Address agent_;
  std::string secret_;
  std::function<void(const Membership::FleetView&)> listener_;
  std::optional<Membership::FleetView> view_;
  Core::Instant confirmedAt_;
  Core::Instant requestedAt_;
  std::size_t failures_ = 0;
  Core::TimerHandle timer_;
};

} // namespace Proxy
