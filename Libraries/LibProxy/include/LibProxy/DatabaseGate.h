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

/** How a home may use one database. */
struct GateLimits
{
  std::size_t slots = 1;
  /** This home's share of the database's connections. */
  std::size_t connections = 1;
  /** Connections kept open while idle. */
  std::size_t floor = 0;
  std::size_t longestQueue = 1;
  Admission::QueueOrder order = Admission::QueueOrder::Weighted;
  Core::Duration probeIdle{ 0 };
  Core::Duration timeout{ 0 };
};

/**
 * The way to one database: its slots, the queue before them, and the
 * connections, which are pooled, or pinned to a transaction.
 */
class DatabaseGate
{
public:
  /** A slot, with a connection that is null when none could be opened. */
  using GrantCallback = std::function<void(ConnectionHandle)>;
  using RefusalCallback = std::function<void(Core::Duration aRetryAfter)>;

  DatabaseGate(Core::Scheduler& aLoop,
               std::unique_ptr<Endpoint::EndpointLink> aLink,
               const GateLimits& aLimits);
  ~DatabaseGate();
  DatabaseGate(const DatabaseGate&) = delete;
  DatabaseGate& operator=(const DatabaseGate&) = delete;

  void SetLimits(const GateLimits& aLimits);
  Endpoint::EndpointLink& Link() { return *link_; }

  /**
   * Asks for a slot, and for a connection unless aPinned is one. Gives the
   * ticket's number, which Cancel takes. One callback runs, not inside this
   * call.
   */
  std::uint64_t Acquire(Admission::Ticket aTicket,
                        ConnectionHandle aPinned,
                        GrantCallback aGranted,
                        RefusalCallback aRefused);

  /** Takes back a ticket that has not been granted; false if it was. */
  bool Cancel(std::uint64_t aTicket);

  /** Gives back the slot, and the connection unless it stays pinned. */
  void Release(const ConnectionHandle& aConnection,
               Core::Instant aGrantedAt,
               bool aStaysPinned);

  /** True when another transaction may pin a connection. */
  bool MayPin() const;
  /** Ends a pin outside a slot: the connection is closed. */
  void DropPinned(const ConnectionHandle& aConnection);

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
  struct Idle
  {
    ConnectionHandle connection;
    Core::Instant since;
  };

  void SchedulePump();
  void Pump();
  void GrantNext(const Admission::Ticket& aTicket);
  void GrantWithConnection(GrantCallback aGranted);
  void OpenConnection(GrantCallback aGranted);
  void Refuse(const Admission::Refusal& aRefusal);
  void ReturnToPool(const ConnectionHandle& aConnection);
  void Maintain();
  void ProbeIdle();
  void KeepFloor();

  Core::Scheduler& loop_;
  std::unique_ptr<Endpoint::EndpointLink> link_;
  GateLimits limits_;
  Admission::WeightedQueue queue_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::list<Idle> idle_;
  std::uint64_t lastTicket_ = 0;
  std::size_t running_ = 0;
  /** Connections that are open (idle, in use or pinned). */
  std::size_t open_ = 0;
  std::size_t opening_ = 0;
  std::size_t pinned_ = 0;
  bool pumpScheduled_ = false;
  Core::Instant nextFloorTry_;
  Core::TimerHandle maintenance_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Proxy
