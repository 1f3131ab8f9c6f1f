#include <LibPooler/ConnectionPool.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Pooler {

namespace {

/** Connections idle for longer are closed, except for one. */
constexpr Core::Duration kIdleLimit = std::chrono::seconds(20);
constexpr Core::Duration kIdleCheckInterval = std::chrono::seconds(5);

/**
 * The number of consecutive failed dials after which the waiters fail, if the
 * database is at its connection limit and no connection to it is open. With any
 * other failure the waiters fail after the first dial.
 */
constexpr int kFailedDialsBeforeRefusal = 2;

/** Weight of the newest value in the moving averages. */
constexpr double kLatencyWeight = 0.1;

/** Average latency assumed for a database before its first reply. */
constexpr double kInitialLatencyMicroseconds = 15'000;

/** A rollback takes one round trip; on a timeout the connection is closed. */
constexpr Core::Duration kRollbackTimeout = std::chrono::milliseconds(300);

/** How long a database is avoided after a failure. */
constexpr Core::Duration kSuspectInterval = std::chrono::milliseconds(1500);

} // namespace

ConnectionPool::ConnectionPool(Core::Scheduler& aScheduler,
                               Sql::DatabaseDialer& aDialer,
                               Database aDatabase,
                               RemotePools* aRemote)
  : scheduler_(aScheduler)
  , dialer_(aDialer)
  , database_(std::move(aDatabase))
  , remote_(aRemote)
  , idleCheck_(
      aScheduler.Every(kIdleCheckInterval, [this] { CloseIdleConnections(); }))
  , averageMicroseconds_(kInitialLatencyMicroseconds)
{
}

ConnectionPool::~ConnectionPool()
{
  *alive_ = false;
  for (const auto& [ticket, waiter] : checkouts_)
    remote_->Cancel(waiter.remoteTicket);
}

void
ConnectionPool::SetLimit(int aLimit)
{
  limit_ = std::max(aLimit, remote_ != nullptr ? 0 : 1);
  // What was learned outlasts a time without a share.
  if (capacity_ != nullptr && limit_ > 0)
    capacity_->SetMaxConcurrency(limit_);
  CloseSurplusConnections();
  if (limit_ > 0)
    return;
  for (Waiter& waiter : waiters_.TakeAll())
    CheckOut(waiter.ticket,
             std::move(waiter.requirements),
             std::move(waiter.receiver));
}

void
ConnectionPool::CloseSurplusConnections()
{
  while (OpenOwn() > limit_ && !idle_.IsEmpty())
    idle_.CloseOne();
}

void
ConnectionPool::LearnCapacity(std::shared_ptr<Admission::WorkTimes> aTimes,
                              SlownessSink aSink)
{
  slownessSink_ = std::move(aSink);
  capacity_ =
    std::make_unique<Admission::CapacityEstimator>(std::move(aTimes), limit_);
}

void
ConnectionPool::AdoptSlowness(double aSlowness)
{
  if (capacity_ != nullptr)
    capacity_->Adopt(scheduler_.Now(), aSlowness);
}

int
ConnectionPool::Running() const
{
  const auto resting = std::count_if(
    used_.begin(), used_.end(), [](const PooledConnectionHandle& aConnection) {
      return aConnection->NeedsRollback();
    });
  return inUse_ - static_cast<int>(resting);
}

int
ConnectionPool::Allowance() const
{
  if (capacity_ == nullptr)
    return std::numeric_limits<int>::max();
  return capacity_->ConcurrencyLimit() - Running();
}

bool
ConnectionPool::MayBeginMore() const
{
  return Allowance() > dials_.Count();
}

void
ConnectionPool::ReviewWaiters()
{
  if (!waiters_.IsEmpty())
    Serve();
}

std::uint64_t
ConnectionPool::Acquire(ConnectionRequirements aRequirements,
                        Receiver aReceiver)
{
  if (isRetired_ || !MustCheckOut(aRequirements))
    return AcquireOwn(std::move(aRequirements), std::move(aReceiver));
  const std::uint64_t ticket = ++lastTicket_;
  CheckOut(ticket, std::move(aRequirements), std::move(aReceiver));
  return ticket;
}

bool
ConnectionPool::MustCheckOut(const ConnectionRequirements& aRequirements) const
{
  if (!IsOwner())
    return true;
  return remote_ != nullptr && !aRequirements.customer.empty() &&
         remote_->PrefersOther(database_.group, aRequirements.customer);
}

std::uint64_t
ConnectionPool::AcquireOwn(ConnectionRequirements aRequirements,
                           Receiver aReceiver)
{
  if (isRetired_) {
    aReceiver(nullptr, PoolRefusal::Unreachable);
    return 0;
  }
  if (waiters_.CountOf(aRequirements.customer) == 0 && MayBeginMore()) {
    if (const auto connection = idle_.Take(aRequirements)) {
      Give(connection, aReceiver);
      return 0;
    }
  }
  const std::uint64_t ticket = ++lastTicket_;
  if (!IsOwner()) {
    CheckOut(ticket, std::move(aRequirements), std::move(aReceiver));
    return ticket;
  }
  waiters_.Add({ ticket,
                 std::move(aRequirements),
                 std::move(aReceiver),
                 scheduler_.Now() });
  Serve();
  return ticket;
}

void
ConnectionPool::Cancel(std::uint64_t aTicket)
{
  waiters_.Cancel(aTicket);
  if (const auto checkout = checkouts_.extract(aTicket))
    remote_->Cancel(checkout.mapped().remoteTicket);
}

void
ConnectionPool::CheckOut(std::uint64_t aTicket,
                         ConnectionRequirements aRequirements,
                         Receiver aReceiver)
{
  const Core::Instant now = scheduler_.Now();
  CheckoutRequest request;
  request.database = database_.id;
  request.dueIn = aRequirements.due - now;
  request.values = aRequirements.values;
  request.preparedText = aRequirements.preparedText;
  request.mustValidate = aRequirements.mustValidate;
  request.customer = aRequirements.customer;
  request.fitsAnyCustomer = aRequirements.fitsAnyCustomer;
  const auto connection =
    std::make_shared<PooledConnection>(aRequirements.customer);
  const std::uint64_t remoteTicket = remote_->Checkout(
    database_.group,
    std::move(request),
    [this, alive = alive_, aTicket, connection](CheckoutOutcome aOutcome) {
      if (*alive)
        OnCheckedOut(aTicket, std::move(aOutcome), connection);
    },
    [weak = std::weak_ptr(connection)] {
      if (const auto lost = weak.lock())
        lost->MarkLost();
    });
  checkouts_.emplace(
    aTicket,
    RemoteWaiter{
      remoteTicket, std::move(aRequirements), std::move(aReceiver), now });
}

void
ConnectionPool::OnCheckedOut(std::uint64_t aTicket,
                             CheckoutOutcome aOutcome,
                             const PooledConnectionHandle& aConnection)
{
  const auto node = checkouts_.extract(aTicket);
  if (!node)
    return;
  const RemoteWaiter& waiter = node.mapped();
  const Core::Duration waited = scheduler_.Now() - waiter.since;
  checkoutMicroseconds_ +=
    kLatencyWeight *
    (static_cast<double>(waited.count()) - checkoutMicroseconds_);
  if (aOutcome.link == nullptr) {
    RecordFailure();
    waiter.receiver(nullptr, PoolRefusal::Unreachable);
    return;
  }
  ++borrowed_;
  // The owner measured the sample's age after the checkout was requested.
  // Counting the age from the request makes the sample look older than it is,
  // never newer.
  if (const auto& sample = aOutcome.grant.sample; sample && sampleSink_)
    sampleSink_(aOutcome.requestedAt - sample->age, sample->position);
  if (slownessSink_)
    slownessSink_(aOutcome.grant.slow);
  if (aOutcome.grant.position)
    RecordPosition(*aOutcome.grant.position);
  aConnection->OpenCheckedOut(std::move(aOutcome.link), scheduler_.Now());
  aConnection->state.Adopt(waiter.requirements.values,
                           waiter.requirements.preparedText
                             ? &*waiter.requirements.preparedText
                             : nullptr,
                           aOutcome.grant.preparedName,
                           aOutcome.grant.lastName);
  waiter.receiver(aConnection, PoolRefusal::None);
}

void
ConnectionPool::Dial(const std::string& aCustomer)
{
  reusesOutOfOrder_ = 0;
  dials_.Begin(aCustomer);
  ++counts_.dials;
  auto connection = std::make_shared<PooledConnection>(aCustomer);
  dialer_.Dial(
    { database_.id,
      database_.group,
      database_.host,
      database_.port,
      aCustomer },
    [this, alive = alive_, connection](Sql::DialOutcome aOutcome) {
      if (*alive)
        OnDialled(std::move(aOutcome), connection);
    },
    [this, alive = alive_, weak = std::weak_ptr(connection)] {
      const auto lost = weak.lock();
      if (!lost || !*alive)
        return;
      lost->MarkLost();
      idle_.Remove(lost);
      RecordFailure();
    });
}

void
ConnectionPool::OnDialled(Sql::DialOutcome aOutcome,
                          const PooledConnectionHandle& aConnection)
{
  if (aOutcome.link == nullptr) {
    dials_.Fail(aConnection->Customer(), scheduler_.Now());
    // A database at its connection limit is not faulty, so it doesn't become
    // suspect. Dials back off all the same.
    const bool isFull = aOutcome.refusal && aOutcome.refusal->code ==
                                              Sql::ErrorCode::ConnectionLimit;
    OnDialFailed(isFull);
    return;
  }
  dials_.Succeed(aConnection->Customer());
  if (aOutcome.position)
    RecordPosition(*aOutcome.position);
  aConnection->Open(std::move(aOutcome.link), scheduler_.Now());
  // The limit may have been lowered meanwhile. The share is another node's now.
  if (isRetired_ || OpenOwn() >= limit_)
    aConnection->Close(false);
  else
    idle_.Add(aConnection);
  Serve();
}

void
ConnectionPool::OnDialFailed(bool aIsFull)
{
  if (aIsFull)
    ++counts_.refusedDials;
  else
    RecordFailure();
  const bool mustRefuse =
    !aIsFull || dials_.Failures() >= kFailedDialsBeforeRefusal;
  if (OpenOwn() == 0 && mustRefuse)
    FailWaiters();
  else
    Serve();
}

void
ConnectionPool::FailWaiters()
{
  const std::shared_ptr<bool> alive = alive_;
  for (const Waiter& waiter : waiters_.TakeAll()) {
    waiter.receiver(nullptr, PoolRefusal::Unreachable);
    if (!*alive)
      return;
  }
}

void
ConnectionPool::FailCheckouts()
{
  const std::shared_ptr<bool> alive = alive_;
  auto checkouts = std::exchange(checkouts_, {});
  for (auto& [ticket, waiter] : checkouts) {
    remote_->Cancel(waiter.remoteTicket);
    waiter.receiver(nullptr, PoolRefusal::Unreachable);
    if (!*alive)
      return;
  }
}

void
ConnectionPool::Release(const PooledConnectionHandle& aConnection)
{
  if (!aConnection->NeedsRollback()) {
    TakeBack(aConnection, true);
    return;
  }
  RunAndRelease(aConnection,
                { .kind = Sql::CommandKind::Rollback },
                kRollbackTimeout,
                [](const Sql::DatabaseReply&) {});
}

void
ConnectionPool::Discard(const PooledConnectionHandle& aConnection)
{
  TakeBack(aConnection, false);
}

void
ConnectionPool::TakeBack(const PooledConnectionHandle& aConnection,
                         bool aIsReusable)
{
  if (aConnection->IsCheckedOut()) {
    --borrowed_;
    aConnection->Close(aIsReusable);
    return;
  }
  --inUse_;
  used_.erase(aConnection);
  const Core::Instant now = scheduler_.Now();
  shares_.EndUse(aConnection->Customer(), aConnection->UsedSince(), now);
  const bool hasRoom = !isRetired_ && OpenOwn() < limit_;
  if (aIsReusable && aConnection->IsClean() && hasRoom) {
    aConnection->BeginIdle(now);
    idle_.Add(aConnection);
  } else {
    aConnection->Close(false);
  }
  Serve();
}

void
ConnectionPool::RunAndRelease(const PooledConnectionHandle& aConnection,
                              const Sql::DatabaseCommand& aCommand,
                              Core::Duration aTimeout,
                              Sql::ReplyHandler aDone)
{
  const auto finish = [this,
                       alive = alive_,
                       weak = std::weak_ptr(aConnection),
                       isDone = std::make_shared<bool>(false),
                       done = std::move(aDone)](Sql::DatabaseReply aReply) {
    const PooledConnectionHandle connection = weak.lock();
    if (std::exchange(*isDone, true) || !*alive || connection == nullptr)
      return;
    TakeBack(connection, true);
    done(std::move(aReply));
  };
  // Only the timer keeps the connection: its own link keeps this callback.
  aConnection->Send(aCommand, finish);
  scheduler_.DeferFor(aTimeout, [finish, aConnection] { finish({}); });
}

void
ConnectionPool::Retire()
{
  isRetired_ = true;
  idle_.CloseAll();
  const std::shared_ptr<bool> alive = alive_;
  FailWaiters();
  if (*alive)
    FailCheckouts();
}

void
ConnectionPool::CloseIdleConnections()
{
  idle_.CloseUnusedSince(scheduler_.Now() - kIdleLimit);
  shares_.Forget(scheduler_.Now());
}

void
ConnectionPool::RecordLatency(Core::Duration aLatency, std::string_view aKind)
{
  respondedAt_ = scheduler_.Now();
  if (capacity_ != nullptr) {
    capacity_->ObserveAnswer(respondedAt_, aKind, aLatency, Running());
    return;
  }
  averageMicroseconds_ +=
    kLatencyWeight *
    (static_cast<double>(aLatency.count()) - averageMicroseconds_);
}

void
ConnectionPool::RecordOverdue(Core::Duration aElapsed, std::string_view aKind)
{
  if (capacity_ != nullptr)
    capacity_->ObserveAnswer(scheduler_.Now(), aKind, aElapsed, Running());
}

void
ConnectionPool::RecordError(Sql::ErrorCode aCode)
{
  if (capacity_ == nullptr)
    return;
  if (aCode == Sql::ErrorCode::Busy)
    capacity_->ObserveRefusal(scheduler_.Now());
  else if (aCode == Sql::ErrorCode::Failed || aCode == Sql::ErrorCode::Other)
    capacity_->ObserveFailure(scheduler_.Now());
}

void
ConnectionPool::RecordLostAnswer()
{
  RecordFailure();
  if (capacity_ != nullptr)
    capacity_->ObserveFailure(scheduler_.Now());
}

void
ConnectionPool::RecordPosition(const Session::LogPosition& aPosition)
{
  position_ = aPosition;
  positionAt_ = scheduler_.Now();
}

void
ConnectionPool::RecordFailure()
{
  ++failures_;
  failedAt_ = scheduler_.Now();
}

void
ConnectionPool::RecordSuccess()
{
  failures_ = 0;
}

Core::Duration
ConnectionPool::LongestWait() const
{
  const Core::Instant now = scheduler_.Now();
  Core::Instant since = waiters_.OldestSince().value_or(now);
  for (const auto& [ticket, waiter] : checkouts_)
    since = std::min(since, waiter.since);
  return now - since;
}

Core::Duration
ConnectionPool::AverageLatency() const
{
  if (capacity_ != nullptr)
    return capacity_->StatementTime(scheduler_.Now());
  return Core::Duration(static_cast<long long>(averageMicroseconds_));
}

Core::Duration
ConnectionPool::ExpectedLatency() const
{
  if (capacity_ != nullptr)
    return ExpectedLatencyAsLearned();
  const int ahead = InUse() + Waiting();
  // The length of the queue at the owner is unknown; only the duration of past
  // checkouts is known.
  if (!IsOwner())
    return Core::Duration(
      static_cast<long long>(averageMicroseconds_ + checkoutMicroseconds_));
  const double rounds = 1.0 + static_cast<double>(ahead) / limit_;
  return Core::Duration(static_cast<long long>(averageMicroseconds_ * rounds));
}

Core::Duration
ConnectionPool::ExpectedLatencyAsLearned() const
{
  const Core::Instant now = scheduler_.Now();
  if (IsOwner())
    return capacity_->ExpectedTime(now, Running() + Waiting());
  return capacity_->StatementTime(now) +
         Core::Duration(static_cast<long long>(checkoutMicroseconds_));
}

bool
ConnectionPool::IsSuspect() const
{
  return failures_ > 0 && scheduler_.Now() - failedAt_ < kSuspectInterval;
}

} // namespace Pooler
