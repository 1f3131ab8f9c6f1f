#include <LibProxy/DatabasePool.h>

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/** Interval of checks for expired requests, idle connections and the floor. */
constexpr Core::Duration kMaintenancePeriod = std::chrono::milliseconds(20);
/** Minimum time between connections opened to reach the floor. */
constexpr Core::Duration kFloorRetryPause = std::chrono::milliseconds(100);

} // namespace

DatabasePool::DatabasePool(Core::Scheduler& aLoop,
                           std::unique_ptr<Endpoint::EndpointLink> aLink,
                           const PoolLimits& aLimits)
  : loop_(aLoop)
  , link_(std::move(aLink))
  , limits_(aLimits)
  , queue_({ aLimits.order, aLimits.maxQueueLength, aLimits.slots })
  , maintenance_(aLoop.Every(kMaintenancePeriod, [this] { Maintain(); }))
{
}

DatabasePool::~DatabasePool()
{
  *alive_ = false;
}

void
DatabasePool::SetLimits(const PoolLimits& aLimits)
{
  limits_ = aLimits;
  queue_.SetLimits({ aLimits.order, aLimits.maxQueueLength, aLimits.slots });
}

std::uint64_t
DatabasePool::Acquire(Admission::Ticket aTicket,
                      ConnectionHandle aPinned,
                      GrantCallback aGranted,
                      RefusalCallback aRefused)
{
  aTicket.number = ++lastTicket_;
  requests_[aTicket.number] = { std::move(aPinned),
                                std::move(aGranted),
                                std::move(aRefused) };
  if (auto refusal = queue_.Offer(aTicket, loop_.Now())) {
    loop_.Defer([this, alive = alive_, refusal = *refusal] {
      if (*alive)
        Refuse(refusal);
    });
  }
  ScheduleGrants();
  return aTicket.number;
}

bool
DatabasePool::Cancel(std::uint64_t aTicket)
{
  if (!queue_.Remove(aTicket))
    return false;
  requests_.erase(aTicket);
  return true;
}

void
DatabasePool::ScheduleGrants()
{
  if (std::exchange(grantsScheduled_, true))
    return;
  loop_.Defer([this, alive = alive_] {
    if (!*alive)
      return;
    grantsScheduled_ = false;
    GrantFreeSlots();
  });
}

void
DatabasePool::GrantFreeSlots()
{
  while (running_ < limits_.slots) {
    const auto ticket = queue_.Next();
    if (!ticket)
      return;
    GrantTicket(*ticket);
  }
}

void
DatabasePool::GrantTicket(const Admission::Ticket& aTicket)
{
  const auto found = requests_.find(aTicket.number);
  if (found == requests_.end())
    return;
  Request request = std::move(found->second);
  requests_.erase(found);
  ++running_;
  if (!request.pinned) {
    GrantWithConnection(std::move(request.granted));
    return;
  }
  --pinned_;
  request.granted(request.pinned);
}

void
DatabasePool::GrantWithConnection(GrantCallback aGranted)
{
  while (!idle_.empty()) {
    // The most recently used connection is the most likely to be alive.
    const ConnectionHandle connection = idle_.back().connection;
    idle_.pop_back();
    if (connection->IsUsable()) {
      aGranted(connection);
      return;
    }
    --open_;
  }
  OpenConnection(std::move(aGranted));
}

void
DatabasePool::OpenConnection(GrantCallback aGranted)
{
  ++opening_;
  ConnectionHandle connection = link_->NewConnection();
  connection->Open(
    limits_.timeout,
    [this, alive = alive_, connection, granted = std::move(aGranted)](
      bool aIsOpen) {
      // The connection must outlive its own callback.
      loop_.Defer([connection] {});
      if (!*alive)
        return;
      --opening_;
      if (aIsOpen)
        ++open_;
      if (granted)
        granted(aIsOpen ? connection : nullptr);
      else if (aIsOpen)
        ReturnToPool(connection);
    });
}

void
DatabasePool::Release(const ConnectionHandle& aConnection,
                      Core::Instant aGrantedAt,
                      bool aStaysPinned)
{
  // The slot may have been granted by the pool that this one replaced; such a
  // slot is not counted here.
  if (running_ == 0)
    return;
  --running_;
  queue_.RecordServiceTime(loop_.Now() - aGrantedAt);
  if (aConnection && aStaysPinned)
    ++pinned_;
  else if (aConnection)
    ReturnToPool(aConnection);
  ScheduleGrants();
}

void
DatabasePool::ReturnToPool(const ConnectionHandle& aConnection)
{
  if (!aConnection->IsUsable() || Connections() > limits_.connections) {
    aConnection->Close();
    --open_;
    return;
  }
  idle_.push_back({ aConnection, loop_.Now() });
}

bool
DatabasePool::CanPin() const
{
  // Transactions may not pin the last connections, one per slot, so that a
  // granted slot never waits for a connection.
  return pinned_ + limits_.slots < limits_.connections;
}

void
DatabasePool::ClosePinned(const ConnectionHandle& aConnection)
{
  aConnection->Close();
  --pinned_;
  --open_;
}

Core::Duration
DatabasePool::ExpectedWait() const
{
  return queue_.WaitBehind(queue_.Length() + running_);
}

void
DatabasePool::Refuse(const Admission::Refusal& aRefusal)
{
  const auto found = requests_.find(aRefusal.number);
  if (found == requests_.end())
    return;
  const RefusalCallback refused = std::move(found->second.refused);
  requests_.erase(found);
  refused(aRefusal.retryAfter);
}

void
DatabasePool::Maintain()
{
  for (const Admission::Refusal& refusal : queue_.Expire(loop_.Now()))
    Refuse(refusal);
  ProbeIdle();
  MaintainFloor();
}

void
DatabasePool::ProbeIdle()
{
  const Core::Instant limit = loop_.Now() - limits_.idleProbeThreshold;
  if (idle_.empty() || idle_.front().since > limit)
    return;
  // A device on the network path (such as a NAT or firewall) may have dropped
  // the connection silently, which only a round trip on it can detect.
  const ConnectionHandle connection = idle_.front().connection;
  idle_.pop_front();
  if (idle_.size() >= limits_.floor) {
    connection->Close();
    --open_;
    return;
  }
  Endpoint::Batch nothing;
  nothing.readOnly = true;
  connection->Run(
    nothing,
    limits_.timeout,
    [this, alive = alive_, connection](const Endpoint::BatchResponse&) {
      loop_.Defer([connection] {});
      if (*alive)
        ReturnToPool(connection);
    });
}

void
DatabasePool::MaintainFloor()
{
  if (Connections() >= limits_.floor || opening_ > 0 ||
      loop_.Now() < nextFloorAttempt_)
    return;
  nextFloorAttempt_ = loop_.Now() + kFloorRetryPause;
  OpenConnection(nullptr);
}

} // namespace Proxy
