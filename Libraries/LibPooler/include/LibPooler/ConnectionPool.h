#pragma once

#include <LibCore/Scheduler.h>
#include <LibPooler/Fleet.h>
#include <LibPooler/RemotePools.h>
#include <LibPooler/SessionValues.h>
#include <LibSql/DatabaseLink.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace Pooler {

/** An open connection to a database, used by one statement run at a time. */
struct PooledConnection
{
  std::shared_ptr<Sql::DatabaseLink> link;
  ConnectionState state;
  Core::Instant idleSince{};
  bool isLost = false;
  /** Set if another node has the connection; the same object as the link. */
  std::shared_ptr<CheckedOutLink> checkedOut;

  /** It rested so long that it should prove itself before a write. */
  bool IsRested(Core::Instant aNow) const;
};
using PooledConnectionHandle = std::shared_ptr<PooledConnection>;

/** What a connection is wanted for. */
struct ConnectionRequirements
{
  /** Orders those who wait. */
  Core::Instant due;
  /** What the connection should hold already, if there is a choice. */
  Values values{};
  std::optional<std::string> preparedText{};
  /** A connection that rested must prove first that it still works. */
  bool mustValidate = false;
};

/** Preparing takes a round trip; a connection that takes longer is silent. */
inline constexpr Core::Duration kPreparationTimeout =
  std::chrono::milliseconds(300);

/** Why a pool has no connection to give. */
enum class PoolRefusal
{
  None,
  /** The database is gone or can't be reached. */
  Unreachable,
};

/**
 * This node's way to one database. At most a limit of connections are open;
 * those who wait are served by when they are due. With a limit of 0, the
 * connections are other nodes', checked out for each use.
 */
class ConnectionPool
{
public:
  /** Null when refused. */
  using Receiver = std::function<void(PooledConnectionHandle, PoolRefusal)>;
  /** Lower is served first. */
  using SampleSink =
    std::function<void(Core::Instant, const Session::LogPosition&)>;
  using Rank = std::pair<Core::Instant, std::uint64_t>;

  ConnectionPool(Core::Scheduler& aScheduler,
                 Sql::DatabaseDialer& aDialer,
                 Database aDatabase,
                 RemotePools* aRemote = nullptr);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /** 0 only where there are other nodes' pools; else at least 1 is taken. */
  void SetLimit(int aLimit);
  /** Gets what other nodes know of the position of the group's primary. */
  void SetSampleSink(SampleSink aSink) { sampleSink_ = std::move(aSink); }
  /** True when this node opens connections itself. */
  bool IsOwner() const { return limit_ > 0; }
  void Update(const Database& aDatabase) { database_ = aDatabase; }
  const Database& Info() const { return database_; }

  /**
   * Gives a connection to aReceiver, at once or later. The ticket cancels the
   * wait; 0 when it is over already.
   */
  std::uint64_t Acquire(ConnectionRequirements aRequirements,
                        Receiver aReceiver);
  void Cancel(std::uint64_t aTicket);

  /** Takes a connection back; one that may be unclean is closed. */
  void Release(const PooledConnectionHandle& aConnection, bool aIsClean);

  /**
   * Sends a command of our own on a connection and takes the connection back.
   * aDone gets an incomplete reply if there is no answer within aTimeout.
   */
  void RunAndRelease(const PooledConnectionHandle& aConnection,
                     const Sql::DatabaseCommand& aCommand,
                     Core::Duration aTimeout,
                     Sql::ReplyHandler aDone);

  /** Rolls back what is open on a connection and takes it back. */
  void RollBackAndRelease(const PooledConnectionHandle& aConnection);

  /** Fails those who wait; the pool opens no more connections. */
  void Retire();

  /** Notes how a statement went, for the choice among databases. */
  void RecordLatency(Core::Duration aLatency);
  void RecordPosition(const Session::LogPosition& aPosition);
  /** Notes that the database gave no answer. */
  void RecordFailure();
  void RecordSuccess();

  /** How long a statement usually takes once it has been sent. */
  Core::Duration UsualLatency() const
  {
    return Core::Duration(static_cast<long long>(averageMicroseconds_));
  }
  /** True if no answer has come since aTime. */
  bool IsSilentSince(Core::Instant aTime) const { return answeredAt_ < aTime; }

  /** How long a statement that is queued now would probably take. */
  Core::Duration ExpectedLatency() const;
  /** True while new work should rather go elsewhere. */
  bool IsSuspect() const;
  const std::optional<Session::LogPosition>& Position() const
  {
    return position_;
  }
  Core::Instant PositionAt() const { return positionAt_; }

  int Open() const { return static_cast<int>(idle_.size()) + inUse_; }
  int InUse() const { return inUse_; }
  /** How long those who wait have waited at most. */
  Core::Duration LongestWait() const;
  int Waiting() const
  {
    return static_cast<int>(waiters_.size() + checkouts_.size());
  }
  std::uint64_t Dials() const { return dials_; }

private:
  struct Waiter
  {
    std::uint64_t ticket;
    ConnectionRequirements requirements;
    Receiver receiver;
    Core::Instant since;
  };

  /** One who waits for a connection of another node. */
  struct RemoteWaiter
  {
    std::uint64_t remoteTicket;
    ConnectionRequirements requirements;
    Receiver receiver;
    Core::Instant since;
  };

  using Waiters = std::map<Rank, Waiter>;

  /**
   * Who is served next: of those who can still be answered by when they are
   * due, the one that is due first; else the one that has been late longest.
   * When there is too little for all, those who are late would otherwise make
   * everybody after them late as well.
   */
  Waiters::iterator NextWaiter();
  PooledConnectionHandle TakeIdle(const Values& aValues);
  void Serve();
  void DialIfNeeded();
  void OnDialled(Sql::DialOutcome aOutcome,
                 const PooledConnectionHandle& aConnection);
  void FailWaiters();
  void CloseRested();
  void CloseSurplus();
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
  int limit_ = 1;
  int inUse_ = 0;
  int dialling_ = 0;
  bool isRetired_ = false;
  std::list<PooledConnectionHandle> idle_;
  Waiters waiters_;
  /** By ticket. */
  std::map<std::uint64_t, RemoteWaiter> checkouts_;
  std::uint64_t lastTicket_ = 0;
  std::uint64_t dials_ = 0;
  int failedDials_ = 0;
  Core::Instant noDialBefore_{};
  Core::TimerHandle redial_;
  Core::TimerHandle sweep_;
  double averageMicroseconds_ = 0;
  /** How long a checkout at another node takes. */
  double checkoutMicroseconds_ = 0;
  Core::Instant answeredAt_ = Core::Instant::min();
  int failures_ = 0;
  Core::Instant failedAt_{};
  std::optional<Session::LogPosition> position_;
  Core::Instant positionAt_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
