#include <LibProxy/DatabaseGate.h>

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/** How often queues are checked for deadlines, and pools kept up. */
constexpr Core::Duration kMaintenancePeriod = std::chrono::milliseconds(20);
/** The least time between connections opened ahead of need. */
constexpr Core::Duration kFloorRetry = std::chrono::milliseconds(100);

} // namespace

DatabaseGate::DatabaseGate(Core::Scheduler& aLoop,
                           std::unique_ptr<Endpoint::EndpointLink> aLink,
                           const GateLimits& aLimits)
  : loop_(aLoop)
  , link_(std::move(aLink))
  , limits_(aLimits)
  , queue_({ aLimits.order, aLimits.longestQueue, aLimits.slots })
  , maintenance_(aLoop.Every(kMaintenancePeriod, [this] { Maintain(); }))
{
}

DatabaseGate::~DatabaseGate()
{
  *alive_ = false;
}

void
DatabaseGate::SetLimits(const GateLimits& aLimits)
{
  limits_ = aLimits;
  queue_.SetLimits({ aLimits.order, aLimits.longestQueue, aLimits.slots });
}

std::uint64_t
DatabaseGate::Acquire(Admission::Ticket aTicket,
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
  SchedulePump();
  return aTicket.number;
}

bool
DatabaseGate::Cancel(std::uint64_t aTicket)
{
  if (!queue_.Remove(aTicket))
    return false;
  requests_.erase(aTicket);
  return true;
}

void
DatabaseGate::SchedulePump()
{
  if (std::exchange(pumpScheduled_, true))
    return;
  loop_.Defer([this, alive = alive_] {
    if (!*alive)
      return;
    pumpScheduled_ = false;
    Pump();
  });
}

void
DatabaseGate::Pump()
{
  while (running_ < limits_.slots) {
    const auto ticket = queue_.Next();
    if (!ticket)
      return;
    GrantNext(*ticket);
  }
}

void
DatabaseGate::GrantNext(const Admission::Ticket& aTicket)
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
DatabaseGate::GrantWithConnection(GrantCallback aGranted)
{
  while (!idle_.empty()) {
    // The one used last is the likeliest to be alive.
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
DatabaseGate::OpenConnection(GrantCallback aGranted)
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
DatabaseGate::Release(const ConnectionHandle& aConnection,
                      Core::Instant aGrantedAt,
                      bool aStaysPinned)
{
  // A slot of the gate that this one replaced is not ours to free.
  if (running_ == 0)
    return;
  --running_;
  queue_.RecordService(loop_.Now() - aGrantedAt);
  if (aConnection && aStaysPinned)
    ++pinned_;
  else if (aConnection)
    ReturnToPool(aConnection);
  SchedulePump();
}

void
DatabaseGate::ReturnToPool(const ConnectionHandle& aConnection)
{
  if (!aConnection->IsUsable() || Connections() > limits_.connections) {
    aConnection->Close();
    --open_;
    return;
  }
  idle_.push_back({ aConnection, loop_.Now() });
}

bool
DatabaseGate::MayPin() const
{
  // Slots must never wait for a connection, so they keep theirs apart.
  return pinned_ + limits_.slots < limits_.connections;
}

void
DatabaseGate::DropPinned(const ConnectionHandle& aConnection)
{
  aConnection->Close();
  --pinned_;
  --open_;
}

Core::Duration
DatabaseGate::ExpectedWait() const
{
  return queue_.WaitBehind(queue_.Length() + running_);
}

void
DatabaseGate::Refuse(const Admission::Refusal& aRefusal)
{
  const auto found = requests_.find(aRefusal.number);
  if (found == requests_.end())
    return;
  const RefusalCallback refused = std::move(found->second.refused);
  requests_.erase(found);
  refused(aRefusal.retryAfter);
}

void
DatabaseGate::Maintain()
{
  for (const Admission::Refusal& refusal : queue_.Expire(loop_.Now()))
    Refuse(refusal);
  ProbeIdle();
  KeepFloor();
}

void
DatabaseGate::ProbeIdle()
{
  const Core::Instant limit = loop_.Now() - limits_.probeIdle;
  if (idle_.empty() || idle_.front().since > limit)
    return;
  // Something between the two ends may have forgotten the connection, which
  // only an exchange on it can show.
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
    [this, alive = alive_, connection](const Endpoint::BatchAnswer&) {
      loop_.Defer([connection] {});
      if (*alive)
        ReturnToPool(connection);
    });
}

void
DatabaseGate::KeepFloor()
{
  if (Connections() >= limits_.floor || opening_ > 0 ||
      loop_.Now() < nextFloorTry_)
    return;
  nextFloorTry_ = loop_.Now() + kFloorRetry;
  OpenConnection(nullptr);
}

} // namespace Proxy
