#pragma once

#include <LibAdmission/CapacityEstimator.h>
#include <LibCore/Scheduler.h>
#include <LibPooler/ConnectionRequirements.h>
#include <LibPooler/FairShare.h>
#include <LibPooler/Fleet.h>
#include <LibPooler/IdleConnections.h>
#include <LibPooler/PendingDials.h>
#include <LibPooler/PoolStep.h>
#include <LibPooler/PooledConnection.h>
#include <LibPooler/RemotePools.h>
#include <LibPooler/WaiterQueue.h>
#include <LibSql/DatabaseLink.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Pooler {

/**
 * Time limit for setting session values and preparing the statement, which
 * takes one round trip. A connection that takes longer counts as unresponsive.
 */
inline constexpr Core::Duration kPreparationTimeout =
  std::chrono::milliseconds(300);

/** What a pool has done since it was created. */
struct PoolCounts
{
  /** Connections that were opened or tried. */
  std::uint64_t dials = 0;
  /** Of these, in place of one that was closed for it. */
  std::uint64_t replacements = 0;
  /** Dials that the database refused because of its connection limit. */
  std::uint64_t refusedDials = 0;
  /** See PoolAction::ReuseOutOfOrder. */
  std::uint64_t reusesOutOfOrder = 0;
};

/**
 * This node's pool of connections to one database. The number of open
 * connections is limited. Each connection serves the customer that it was
 * opened for; WaiterQueue and NextPoolStep decide who gets one next. With a
 * limit of 0 the node opens no connections of its own and checks out those of
 * other nodes, one checkout for each use. An owner does the same for customers
 * whose connections gather at another owner (see RemotePools).
 */
class ConnectionPool
{
public:
  using Receiver = ConnectionReceiver;
  /** Receives the time of a request for a primary's position, and the reply. */
  using SampleSink =
    std::function<void(Core::Instant, const Session::LogPosition&)>;
  /** Receives what an owner has learned of the group's databases. */
  using SlownessSink = std::function<void(const SlowDatabases&)>;

  ConnectionPool(Core::Scheduler& aScheduler,
                 Sql::DatabaseDialer& aDialer,
                 Database aDatabase,
                 RemotePools* aRemote = nullptr);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /**
   * Sets how many connections may be open. The minimum is 1, or 0 if
   * connections can be checked out from other nodes.
   */
  void SetLimit(int aLimit);
  /**
   * Sets the receiver of the samples of the group's primary that owners send
   * along with their grants.
   */
  void SetSampleSink(SampleSink aSink) { sampleSink_ = std::move(aSink); }
  /** Returns true if this node opens connections itself. */
  bool IsOwner() const { return limit_ > 0; }
  int Limit() const { return limit_; }
  void Update(const Database& aDatabase) { database_ = aDatabase; }
  const Database& Info() const { return database_; }

  /**
   * Passes a connection or a refusal to aReceiver, immediately or later.
   * Returns the ticket for Cancel; 0 if aReceiver has already been called.
   */
  std::uint64_t Acquire(ConnectionRequirements aRequirements,
                        Receiver aReceiver);
  /** The same, but only with a connection that this node opens. */
  std::uint64_t AcquireOwn(ConnectionRequirements aRequirements,
                           Receiver aReceiver);
  void Cancel(std::uint64_t aTicket);

  /**
   * Returns a connection to the pool, or to the node that it was checked out
   * from. A transaction that is open on it is rolled back first. A connection
   * that still awaits a reply, or has failed, is closed.
   */
  void Release(const PooledConnectionHandle& aConnection);
  /** Closes a connection, so that the database rolls back. */
  void Discard(const PooledConnectionHandle& aConnection);

  /**
   * Runs a command of this node (not of a client) on a connection, then
   * releases the connection. aDone receives an incomplete reply if none arrives
   * within aTimeout.
   */
  void RunAndRelease(const PooledConnectionHandle& aConnection,
                     const Sql::DatabaseCommand& aCommand,
                     Core::Duration aTimeout,
                     Sql::ReplyHandler aDone);

  /** Fails all waiters. The pool opens no more connections. */
  void Retire();

  /**
   * From now on, learns how slow the database is and how many statements it
   * takes at once, and lets no more begin. aTimes is shared by the group.
   */
  void LearnCapacity(std::shared_ptr<Admission::WorkTimes> aTimes,
                     SlownessSink aSink = nullptr);
  /** An owner reports how slow the database is. */
  void AdoptSlowness(double aSlowness);
  /** What was learned; null unless LearnCapacity was called. */
  const Admission::CapacityEstimator* Capacity() const
  {
    return capacity_.get();
  }
  /** Serves waiters that the learned limit, or a resting transaction, held. */
  void ReviewWaiters();

  /**
   * Records a statement's latency, for the choice among databases. aKind names
   * statements that take similar times.
   */
  void RecordLatency(Core::Duration aLatency, std::string_view aKind = {});
  /**
   * Records that a statement has had no answer for aElapsed, and that nobody
   * waits for its answer any more.
   */
  void RecordOverdue(Core::Duration aElapsed, std::string_view aKind);
  /** Records that a statement was answered with an error. */
  void RecordError(Sql::ErrorCode aCode);
  /** Records that the answer to a statement is missing. */
  void RecordLostAnswer();
  void RecordPosition(const Session::LogPosition& aPosition);
  /** Records that the database didn't reply or couldn't be reached. */
  void RecordFailure();
  void RecordSuccess();

  /** Moving average of the time from sending a statement to its reply. */
  Core::Duration AverageLatency() const;
  /** Returns true if no statement has been answered since aTime. */
  bool HasNotRespondedSince(Core::Instant aTime) const
  {
    return respondedAt_ < aTime;
  }

  /** Estimates the latency of a statement queued now, waiting included. */
  Core::Duration ExpectedLatency() const;
  /**
   * Returns true for a while after a failure that no success followed. New
   * statements should then prefer other databases.
   */
  bool IsSuspect() const;
  const std::optional<Session::LogPosition>& Position() const
  {
    return position_;
  }
  Core::Instant PositionAt() const { return positionAt_; }

  /** The connections that this node opened, without those being opened. */
  int OpenOwn() const { return idle_.Size() + inUse_; }
  int Open() const { return OpenOwn() + borrowed_; }
  int InUse() const { return inUse_ + borrowed_; }
  /** How long the oldest waiter has been waiting; 0 if there is none. */
  Core::Duration LongestWait() const;
  int Waiting() const
  {
    return waiters_.Size() + static_cast<int>(checkouts_.size());
  }
  std::uint64_t Dials() const { return counts_.dials; }
  const PoolCounts& Counts() const { return counts_; }

private:
  /** A waiter for a connection of another node. */
  struct RemoteWaiter
  {
    std::uint64_t remoteTicket;
    ConnectionRequirements requirements;
    Receiver receiver;
    Core::Instant since;
  };

  /** Passes an idle connection to its next user. */
  void Give(const PooledConnectionHandle& aConnection,
            const Receiver& aReceiver);
  /** Ends the use of a connection: keeps it for reuse, or closes it. */
  void TakeBack(const PooledConnectionHandle& aConnection, bool aIsReusable);
  /** Connections in use, without those of transactions between statements. */
  int Running() const;
  /** How many more statements the learned limit allows to begin. */
  int Allowance() const;
  /** True if the learned limit allows a statement beside those dialled for. */
  bool MayBeginMore() const;
  Core::Duration ExpectedLatencyAsLearned() const;
  /** Gives waiters connections, and opens connections for the others. */
  void Serve();
  PoolStep NextStep(const std::vector<const Waiter*>& aNext) const;
  void Perform(const PoolStep& aStep, const Waiter& aWaiter);
  /** The least recently used idle connection that no waiter wants, or null. */
  PooledConnectionHandle UnwantedIdle() const;
  /** Calls Serve when dials or replacements become possible. */
  void PlanRetry();
  void Dial(const std::string& aCustomer);
  void OnDialled(Sql::DialOutcome aOutcome,
                 const PooledConnectionHandle& aConnection);
  void OnDialFailed(bool aIsFull);
  /** Fails those that wait for a connection of this node. */
  void FailWaiters();
  /** Fails those that wait for a connection of another node. */
  void FailCheckouts();
  void CloseIdleConnections();
  void CloseSurplusConnections();
  /** Returns true if the connection comes from another node. */
  bool MustCheckOut(const ConnectionRequirements& aRequirements) const;
  void CheckOut(std::uint64_t aTicket,
                ConnectionRequirements aRequirements,
                Receiver aReceiver);
  void OnCheckedOut(std::uint64_t aTicket,
                    CheckoutOutcome aOutcome,
                    const PooledConnectionHandle& aConnection);

  Core::Scheduler& scheduler_;
  Sql::DatabaseDialer& dialer_;
  Database database_;
  RemotePools* remote_;
  SampleSink sampleSink_;
  SlownessSink slownessSink_;
  int limit_ = 1;
  /** Connections of this node in use. */
  int inUse_ = 0;
  /** Connections checked out from other nodes. */
  int borrowed_ = 0;
  PendingDials dials_;
  bool isRetired_ = false;
  IdleConnections idle_;
  WaiterQueue waiters_;
  FairShare shares_;
  int reusesOutOfOrder_ = 0;
  /** By ticket. */
  std::map<std::uint64_t, RemoteWaiter> checkouts_;
  std::uint64_t lastTicket_ = 0;
  PoolCounts counts_;
  Core::TimerHandle retry_;
  Core::TimerHandle idleCheck_;
  double averageMicroseconds_ = 0;
  /** Moving average of the duration of checkouts from other nodes. */
  double checkoutMicroseconds_ = 0;
  /** When RecordLatency was last called. */
  Core::Instant respondedAt_ = Core::Instant::min();
  std::unique_ptr<Admission::CapacityEstimator> capacity_;
  /** The connections in use; filled only while capacity is learned. */
  std::set<PooledConnectionHandle> used_;
  int failures_ = 0;
  Core::Instant failedAt_{};
  std::optional<Session::LogPosition> position_;
  Core::Instant positionAt_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
