#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Scheduler.h>
#include <LibQuota/LeasedBucket.h>
#include <LibQuota/Messages.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Quota {

/** Sends a request to the holder of the failover duty. */
class ShareLink
{
public:
  virtual ~ShareLink() = default;
  /** True if a holder is known and may be reached. */
  virtual bool IsReachable() const = 0;
  /** aDone runs once, later; none: there was no response. */
  virtual void RequestShares(
    const ShareRequest& aRequest,
    std::function<void(std::optional<ShareResponse>)> aDone) = 0;
};

/** Whether an operation may start now. */
enum class Decision
{
  Admitted,
  Refused,
  /** The node has asked the holder for more. */
  Pending,
};

inline constexpr Core::EnumNames<Decision, 3> kDecisionNames{ {
  { { Decision::Admitted, "admitted" },
    { Decision::Refused, "refused" },
    { Decision::Pending, "pending" } },
} };

/** Counts of one customer's operations at this node. */
struct Usage
{
  std::uint64_t admitted = 0;
  /** Refused since the customer's quota is used up. */
  std::uint64_t refusedBeyondQuota = 0;
  /** Refused since no share came in time, or no holder is known. */
  std::uint64_t refusedWithoutShare = 0;
  /** The rate of the node's share, in operations a second. */
  double rate = 0;
};

/**
 * A node's shares of the customers' quotas. Admits operations, and exchanges
 * demand for shares with the holder of the failover duty: regularly for
 * customers in use, and at once if an operation waits.
 */
class QuotaShares
{
public:
  QuotaShares(Core::Scheduler& aScheduler, ShareLink& aLink, std::string aNode);
  ~QuotaShares();
  QuotaShares(const QuotaShares&) = delete;
  QuotaShares& operator=(const QuotaShares&) = delete;

  /** Sets the customers that have a quota. All others are always admitted. */
  void SetLimited(std::set<std::string> aCustomers);

  /**
   * A new holder needs the shares of this node, also if there are none, before
   * it may hand out freely. Sends requests until one is accepted.
   */
  void OnNewHolder();

  /** Charges one operation if it is admitted. Wait must follow if pending. */
  Decision Admit(const std::string& aCustomer);

  /** Ends the wait for a decision when it is destroyed. */
  using WaitHandle = std::shared_ptr<void>;
  /**
   * Waits up to aLimit. aDone runs once, never inside this call, with true if
   * the operation is admitted, and then charged.
   */
  [[nodiscard]] WaitHandle Wait(const std::string& aCustomer,
                                Core::Duration aLimit,
                                std::function<void(bool)> aDone);

  /** Sends the regular requests; called several times a second. */
  void Tick();

  /** By customer. */
  std::map<std::string, Usage> UsageByCustomer() const;

private:
  struct Waiter
  {
    /** Empty once the wait has ended. */
    std::function<void(bool)> done;
    Core::TimerHandle timer;
  };
  struct Customer
  {
    LeasedBucket bucket;
    Usage usage;
    /** Operations a second, decaying; see AddDemand. */
    double demand = 0;
    Core::Instant demandAt = Core::Instant::min();
    /** The latest request that listed this customer. */
    Core::Instant requestedAt = Core::Instant::min();
    /** The depth of the share that it stated. */
    double reportedDepth = 0;
    /** Until then, operations without a token are refused: the holder had too
     * few at the last request. */
    Core::Instant exhaustedUntil = Core::Instant::min();
    std::deque<std::shared_ptr<Waiter>> waiters;
  };

  /** The waiters that a response has decided on. */
  struct Outcome
  {
    std::vector<std::shared_ptr<Waiter>> admitted;
    std::vector<std::shared_ptr<Waiter>> refused;
  };

  /** True if a request must be sent though no customer needs one. */
  bool MustReport() const { return mustReport_ && !limited_.empty(); }
  static void DecayDemand(Customer& aCustomer, Core::Instant aNow);
  static void AddDemand(Customer& aCustomer, Core::Instant aNow);
  static void DropEndedWaiters(Customer& aCustomer);
  bool IsDue(Customer& aCustomer, Core::Instant aNow) const;
  /** Sends a request for all customers that are due, if there are any. */
  void SendRequest();
  void RequestSoon();
  void OnResponse(const ShareRequest& aRequest,
                  Core::Instant aSentAt,
                  const std::optional<ShareResponse>& aResponse);
  void ApplyGrants(const ShareRequest& aRequest,
                   Core::Instant aSentAt,
                   const ShareResponse& aResponse);
  void ServeWaiters(Customer& aCustomer,
                    std::int64_t aAnswered,
                    Outcome& aOutcome);
  /** Answers the waiters that still wait. */
  static void Notify(const Outcome& aOutcome);
  void OnWaitEnded(const std::string& aCustomer,
                   const std::weak_ptr<Waiter>& aWaiter);

  Core::Scheduler& scheduler_;
  ShareLink& link_;
  std::string node_;
  /** A new holder hasn't accepted a request yet. */
  bool mustReport_ = false;
  /** A request that names term_ has been accepted. */
  bool isTermAccepted_ = false;
  Core::Instant nextReportAt_{};
  std::set<std::string> limited_;
  std::map<std::string, Customer> customers_;
  std::uint64_t term_ = 0;
  std::uint64_t counter_ = 0;
  bool isRequestPending_ = false;
  bool isRequestScheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Quota
