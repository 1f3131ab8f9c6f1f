#pragma once

#include <LibPooler/Checkout.h>
#include <LibPooler/ConnectionPool.h>

#include <memory>
#include <string>

namespace Pooler {

/** What checkouts need from the node that owns the connections. */
class CheckoutHost
{
public:
  virtual ~CheckoutHost() = default;
  /** The pool of a database, if this node may give connections of it away. */
  virtual std::shared_ptr<ConnectionPool> OwnPool(
    const std::string& aDatabase) = 0;
  /** The newest sample of the primary of a database's group. */
  virtual std::optional<RelayedSample> NewestSample(
    const std::string& aDatabase) const = 0;
  /** A connection that is checked out and unused for longer is taken back. */
  virtual Core::Duration CheckoutIdleLimit() const = 0;
  /** No node waits longer than this for an answer of a database. */
  virtual Core::Duration CheckoutAnswerLimit() const = 0;
};

/**
 * Another node's channel to this one's connections: gets a connection of the
 * pool, in the order of all who wait here, brings it into the wanted state, and
 * passes commands and answers on until it is given back.
 */
class CheckoutSession
{
public:
  CheckoutSession(Core::Scheduler& aScheduler,
                  CheckoutHost& aHost,
                  CheckoutPort& aPort);
  /** Drops what is checked out, so that the database rolls it back. */
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
  void GiveBack(bool aIsClean);
  void TakeBackAfter(Core::Duration aLimit);

  Core::Scheduler& scheduler_;
  CheckoutHost& host_;
  CheckoutPort& port_;
  CheckoutRequest request_;
  /** Null when nothing is asked for or checked out. */
  std::shared_ptr<ConnectionPool> pool_;
  std::uint64_t ticket_ = 0;
  PooledConnectionHandle connection_;
  bool isGranted_ = false;
  int unanswered_ = 0;
  std::shared_ptr<void> batch_;
  Core::TimerHandle waiting_;
  Core::TimerHandle limit_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
