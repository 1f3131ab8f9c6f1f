#pragma once

#include <LibAdmission/ReadBalancer.h>
#include <LibAdmission/WorkTimes.h>
#include <LibAuthority/PrimaryAuthority.h>
#include <LibAuthority/SampleHistory.h>
#include <LibPooler/ConnectionPool.h>
#include <LibPooler/Fleet.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pooler {

/** What a statement requires of the database that runs it. */
struct RoutingRequirements
{
  /** It writes, or must see all acknowledged writes. */
  bool needsPrimary = true;
  /** Maximum staleness of a read at a replica. */
  Core::Duration maxStaleness{ 0 };
  /**
   * The log position of the session's own acknowledged writes, if reads must
   * see them.
   */
  std::optional<Session::LogPosition> sessionFloor;
  /** Ids of databases that were tried for this statement without success. */
  std::set<std::string> excluded;
};

/** The database chosen for a statement. */
struct RoutingChoice
{
  std::shared_ptr<ConnectionPool> pool;
  bool isPrimary = false;
  /** The primary's term in the group's record; 0 for a replica. */
  Session::Term term = 0;
  /**
   * The primary may have stepped down. A read must therefore run in a
   * transaction that may write, which a former primary refuses.
   */
  bool needsFencedRead = false;
  /** The position that a replica's log must hold; unset for the primary. */
  std::optional<Session::LogPosition> floor;
};

/** Limits over all routes to a group, for the detection of overload. */
struct GroupGoals
{
  /** The longest staleness allowed by a route; 0: reads need the primary. */
  Core::Duration longestStaleness{ 0 };
  /** The shortest target latency of an operation. */
  Core::Duration shortestTargetLatency = Core::Duration::max();
};

/**
 * Chooses the database of one group that runs a statement, by what this node
 * knows of the group: its primary, log positions, latencies and failures.
 */
class GroupRouter
{
public:
  GroupRouter(Core::Scheduler& aScheduler,
              Sql::DatabaseDialer& aDialer,
              std::string aName,
              std::string aDataCentre,
              Authority::AuthorityLease aLease,
              RemotePools* aRemote = nullptr);

  /**
   * From now on, learns each database's speed and capacity. Must be called
   * before SetDatabases.
   */
  void LearnCapacity();

  void SetDatabases(const std::vector<Database>& aDatabases);
  /**
   * Sets the number of connections that this node may open per database. With
   * 0, connections are checked out from other nodes.
   */
  void SetConnectionLimit(int aLimit);
  int ConnectionLimit() const { return connectionLimit_; }
  void SetGoals(const GroupGoals& aGoals) { goals_ = aGoals; }
  /**
   * Sets how long a leaving primary may be used; none: until it is replaced,
   * which then begins at once.
   */
  void SetLeavingTime(std::optional<Core::Duration> aTime)
  {
    leavingTime_ = aTime;
  }

  /**
   * Processes a record that the store held at some time after aRequestedAt.
   * Returns true if it changes the known record (Authority().Record()).
   */
  bool ObserveRecord(const Authority::GroupRecord& aRecord,
                     Core::Instant aRequestedAt);
  /** Extends the authority: a request sent at aRequestedAt showed no change. */
  void RenewAuthority(Core::Instant aRequestedAt);

  /** Returns none if no database may be used now. */
  std::optional<RoutingChoice> Choose(
    const RoutingRequirements& aRequirements) const;

  /** Records that a statement goes to aChoice. */
  void RecordChoice(const RoutingRequirements& aRequirements,
                    const RoutingChoice& aChoice);

  /** The databases that this node has learned to be slow. */
  SlowDatabases LearnedSlow() const;

  /** The part (0 to 1) of the latest reads that went to a database. */
  double ReadShareOf(const std::string& aDatabase) const
  {
    return balancer_.ShareOf(aDatabase);
  }

  /**
   * True if statements take long at the primary, or wait long for a connection
   * to it, while every replica is too far behind for any read. Always false at
   * a node that opens no connections to the primary itself: the owners of the
   * connections that it checks out observe its statements.
   */
  bool IsPrimaryOverloaded() const;

  /**
   * Records that a statement sent to the primary at aSentAt, under authority,
   * was answered at log position aPosition.
   */
  void AddSample(Core::Instant aSentAt, const Session::LogPosition& aPosition);

  /**
   * Runs aTask once, when something has changed that Choose depends on. Returns
   * a ticket for CancelWait.
   */
  std::uint64_t WaitForChange(std::function<void()> aTask);
  void CancelWait(std::uint64_t aTicket);

  const std::string& Name() const { return name_; }
  const Authority::PrimaryAuthority& Authority() const { return authority_; }
  const Authority::SampleHistory& Samples() const { return samples_; }
  const std::map<std::string, std::shared_ptr<ConnectionPool>>& Pools() const
  {
    return pools_;
  }

private:
  std::optional<RoutingChoice> ChoosePrimary(
    const RoutingRequirements& aRequirements) const;
  /**
   * Returns the position that a replica's log must hold for a read; none if no
   * sample is recent enough for any replica to be used.
   */
  std::optional<Session::LogPosition> FloorOf(
    const RoutingRequirements& aRequirements) const;
  bool IsEligibleReplica(const ConnectionPool& aPool,
                         const RoutingRequirements& aRequirements,
                         const Session::LogPosition& aFloor) const;
  /**
   * True if the database was below aFloor when its position was last seen, no
   * longer than aMaxAge ago.
   */
  bool IsTooFarBehind(const ConnectionPool& aPool,
                      const Session::LogPosition& aFloor,
                      Core::Duration aMaxAge) const;
  /** An owner reports aSlow; it finds nothing to note in the others. */
  void AdoptSlow(const SlowDatabases& aSlow);
  /** The databases that may run a read now; the primary first. */
  std::vector<RoutingChoice> ReadChoices(
    const RoutingRequirements& aRequirements) const;
  Admission::ReadCandidate CandidateOf(const RoutingChoice& aChoice) const;
  /** The index of the best of aChoices, which must not be empty. */
  std::size_t BestOf(const std::vector<RoutingChoice>& aChoices) const;
  bool IsRecordedPrimary(const ConnectionPool& aPool) const;
  /** The expected latency plus penalties; the lowest cost is chosen. */
  Core::Duration CostOf(const ConnectionPool& aPool, bool aIsPrimary) const;
  void NotifyWaiters();

  Core::Scheduler& scheduler_;
  Sql::DatabaseDialer& dialer_;
  std::string name_;
  std::string dataCentre_;
  RemotePools* remote_;
  Authority::PrimaryAuthority authority_;
  Authority::SampleHistory samples_;
  std::map<std::string, std::shared_ptr<ConnectionPool>> pools_;
  int connectionLimit_ = 1;
  GroupGoals goals_;
  std::optional<Core::Duration> leavingTime_;
  /** Shared by the pools; null unless capacity is learned. */
  std::shared_ptr<Admission::WorkTimes> workTimes_;
  Admission::ReadBalancer balancer_;
  std::map<std::uint64_t, std::function<void()>> waiting_;
  std::uint64_t lastTicket_ = 0;
};

/** All groups' routers, by name. */
using GroupRouters = std::map<std::string, std::unique_ptr<GroupRouter>>;

} // namespace Pooler
