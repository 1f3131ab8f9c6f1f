#pragma once

#include <LibMetrics/Metrics.h>
#include <LibPooler/Fleet.h>
#include <LibPooler/Log.h>
#include <LibPooler/MemberRoster.h>
#include <LibPooler/Peers.h>
#include <LibPooler/QuotaDuty.h>
#include <LibQuota/QuotaBook.h>
#include <LibQuota/QuotaShares.h>

#include <functional>
#include <memory>
#include <string>

namespace Pooler {

/**
 * This node's part in the division of the customers' quotas: its own shares,
 * and the book of all shares while it holds the failover duty.
 */
class QuotaExchange final : public Quota::ShareLink
{
public:
  QuotaExchange(Core::Scheduler& aScheduler,
                PeerLink& aPeers,
                const MemberRoster& aRoster,
                std::string aMemberKey,
                Quota::Tolerance aTolerance,
                const QuotaDuty& aDuty,
                LogSink aLog);
  ~QuotaExchange() override;

  void ApplyConfiguration(const Configuration& aConfiguration);
  /** The sender is the holder, unless it resigns. */
  void OnHeartbeat(const Heartbeat& aHeartbeat);
  void Tick();
  Quota::ShareResponse Answer(const Quota::ShareRequest& aRequest);

  Quota::QuotaShares& Shares() { return shares_; }
  /** Sets gauges of the customers that use most, and of the rest together. */
  void UpdateGauges(Metrics::Registry& aMetrics) const;

  bool IsReachable() const override;
  void RequestShares(
    const Quota::ShareRequest& aRequest,
    std::function<void(std::optional<Quota::ShareResponse>)> aDone) override;

private:
  /** Tells the book of this node's term, and whose shares it must know. */
  void UpdateTerm();
  /** Logs the customers whose operations were refused since the last call. */
  void LogRefusals();

  Core::Scheduler& scheduler_;
  PeerLink& peers_;
  const MemberRoster& roster_;
  std::string memberKey_;
  Quota::Tolerance tolerance_;
  const QuotaDuty& duty_;
  std::uint64_t lastTerm_ = 0;
  LogSink log_;
  Quota::QuotaBook book_;
  Quota::QuotaShares shares_;
  /** The member key of the last known holder, and when it was heard. */
  std::string holder_;
  Core::Instant heardAt_ = Core::Instant::min();
  std::map<std::string, Quota::Usage> logged_;
  Core::TimerHandle logTimer_;
};

} // namespace Pooler
