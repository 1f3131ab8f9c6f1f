#pragma once

#include <LibAdmission/WeightedQueue.h>
#include <LibCore/Scheduler.h>
#include <LibEndpoint/EndpointLink.h>

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

namespace Proxy {

using ConnectionHandle = std::shared_ptr<Endpoint::EndpointConnection>;

/** Limits on how one home uses one database. */
struct PoolLimits
{
  /** Number of requests of this home that may use the database at once. */
  std::size_t slots = 1;
  /** Maximum number of connections: this home's share of the database's. */
  std::size_t connections = 1;
  /** Minimum number of connections, kept open even while idle. */
  std::size_t floor = 0;
  std::size_t maxQueueLength = 1;
  Admission::QueueOrder order = Admission::QueueOrder::Weighted;
  /**
   * After this time without use, an idle connection is probed, or closed if at
   * least `floor` other connections are idle.
   */
  Core::Duration idleProbeThreshold{ 0 };
  /** Timeout for opening and for probing a connection. */
  Core::Duration timeout{ 0 };
};

/**
 * The connection pool of one database, with admission control: a limited number
 * of slots, a queue of requests waiting for a slot, and the connections, which
 * are either pooled or pinned to a transaction.
 */
class DatabasePool
{
public:
  /**
   * Receives a slot and its connection. The connection is null when none could
   * be opened; the slot must be released in either case.
   */
  using GrantCallback = std::function<void(ConnectionHandle)>;
  using RefusalCallback = std::function<void(Core::Duration aRetryAfter)>;

  DatabasePool(Core::Scheduler& aLoop,
               std::unique_ptr<Endpoint::EndpointLink> aLink,
               const PoolLimits& aLimits);
  ~DatabasePool();
  DatabasePool(const DatabasePool&) = delete;
  DatabasePool& operator=(const DatabasePool&) = delete;

  void SetLimits(const PoolLimits& aLimits);
  Endpoint::EndpointLink& Link() { return *link_; }

  /**
   * Requests a slot, and a pooled connection unless aPinned is given. Returns
   * the ticket's number for Cancel. Calls exactly one of the callbacks, never
   * inside this call; neither is called after a successful Cancel.
   */
  std::uint64_t Acquire(Admission::Ticket aTicket,
                        ConnectionHandle aPinned,
                        GrantCallback aGranted,
                        RefusalCallback aRefused);

  /** Withdraws a queued ticket. Returns false if it is no longer queued. */
  bool Cancel(std::uint64_t aTicket);

  /**
   * Releases the slot granted at aGrantedAt, and returns the connection to the
   * pool unless it stays pinned.
   */
  void Release(const ConnectionHandle& aConnection,
               Core::Instant aGrantedAt,
               bool aStaysPinned);

  /** Returns true if one more transaction may pin a connection. */
  bool CanPin() const;
  /** Closes a pinned connection that holds no slot. */
  void ClosePinned(const ConnectionHandle& aConnection);

  /** Estimates how long a new request would wait for a slot. */
  Core::Duration ExpectedWait() const;
  std::size_t Connections() const { return open_ + opening_; }
  std::size_t Queued() const { return queue_.Length(); }
  std::size_t Running() const { return running_; }

private:
  struct Request
  {
    ConnectionHandle pinned;
    GrantCallback granted;
    RefusalCallback refused;
  };
  struct IdleConnection
  {
    ConnectionHandle connection;
    Core::Instant since;
  };

  void ScheduleGrants();
  void GrantFreeSlots();
  void GrantTicket(const Admission::Ticket& aTicket);
  void GrantWithConnection(GrantCallback aGranted);
  void OpenConnection(GrantCallback aGranted);
  void Refuse(const Admission::Refusal& aRefusal);
  void ReturnToPool(const ConnectionHandle& aConnection);
  void Maintain();
  void ProbeIdle();
  void MaintainFloor();

  Core::Scheduler& loop_;
  std::unique_ptr<Endpoint::EndpointLink> link_;
  PoolLimits limits_;
  Admission::WeightedQueue queue_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::list<IdleConnection> idle_;
  std::uint64_t lastTicket_ = 0;
  std::size_t running_ = 0;
  /** Number of open connections (idle, in use or pinned). */
  std::size_t open_ = 0;
  std::size_t opening_ = 0;
  std::size_t pinned_ = 0;
  bool grantsScheduled_ = false;
  Core::Instant nextFloorAttempt_;
  Core::TimerHandle maintenance_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Proxy
