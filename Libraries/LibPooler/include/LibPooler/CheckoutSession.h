#pragma once

#include <LibPooler/Checkout.h>
#include <LibPooler/ConnectionPool.h>

#include <memory>
#include <string>

namespace Pooler {

/** What checkout sessions use of the node that owns the connections. */
class CheckoutHost
{
public:
  virtual ~CheckoutHost() = default;
  /** Returns the pool of a database; null if this node owns no connections. */
  virtual std::shared_ptr<ConnectionPool> OwnPool(
    const std::string& aDatabase) = 0;
  /** Returns the newest sample of the primary of the database's group. */
  virtual std::optional<RelayedSample> NewestSample(
    const std::string& aDatabase) const = 0;
  /** Returns the databases of its group that this node learned to be slow. */
  virtual SlowDatabases SlowDatabasesBeside(
    const std::string& aDatabase) const = 0;
  /** How long a connection may be checked out without a pending command. */
  virtual Core::Duration CheckoutIdleTimeout() const = 0;
  /**
   * How long a checked-out connection may have replies outstanding. No node
   * waits longer than this for a reply of a database.
   */
  virtual Core::Duration CheckoutResponseTimeout() const = 0;
};

/**
 * The owner's side of one checkout channel. Waits for a connection of the pool
 * in one queue with the pool's other waiters, brings it into the requested
 * state, and relays commands and replies until the connection is returned.
 */
class CheckoutSession
{
public:
  CheckoutSession(Core::Scheduler& aScheduler,
                  CheckoutHost& aHost,
                  CheckoutPort& aPort);
  /** Closes the checked-out connection, so that the database rolls back. */
  ~CheckoutSession();
  CheckoutSession(const CheckoutSession&) = delete;
  CheckoutSession& operator=(const CheckoutSession&) = delete;

  void OnRequest(CheckoutRequest aRequest);
  void OnCommand(const Sql::DatabaseCommand& aCommand);
  void OnReturn(const CheckoutReturn& aReturn);

  bool IsIdle() const { return pool_ == nullptr; }

private:
  void Prepare(PooledConnectionHandle aConnection);
  void Grant();
  void Refuse(CheckoutRefusal aRefusal);
  void OnReply(const Sql::DatabaseReply& aReply);
  /** Gives the connection back to the pool; closes it unless aIsReusable. */
  void EndCheckout(bool aIsReusable);
  /** Closes connection and channel after aLimit; replaces an earlier limit. */
  void ReclaimAfter(Core::Duration aLimit);

  Core::Scheduler& scheduler_;
  CheckoutHost& host_;
  CheckoutPort& port_;
  CheckoutRequest request_;
  /** Null if no checkout is requested or granted. */
  std::shared_ptr<ConnectionPool> pool_;
  std::uint64_t ticket_ = 0;
  PooledConnectionHandle connection_;
  bool isGranted_ = false;
  std::shared_ptr<void> batch_;
  Core::TimerHandle waitingTimer_;
  Core::TimerHandle reclaimTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
