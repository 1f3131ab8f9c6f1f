#pragma once

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

namespace Pooler {

/** What a statement asks of the database that runs it. */
struct RoutingRequirements
{
  /** It writes, or must see all that was acknowledged. */
  bool needsPrimary = true;
  /** How old a read may be, where a replica may run it. */
  Core::Duration maxStaleness{ 0 };
  /** What the session itself was told was done. */
  std::optional<Session::LogPosition> sessionFloor;
  /** Databases that have already turned this statement away. */
  std::set<std::string> excluded;
};

/** Where a statement goes. */
struct RoutingChoice
{
  std::shared_ptr<ConnectionPool> pool;
  bool isPrimary = false;
  /** The primary's term by the group's record. */
  Session::Term term = 0;
  /**
   * The primary may have stepped down, so that a read must run in a
   * transaction that may write, which the database then refuses.
   */
  bool needsFencedRead = false;
  /** What the database's log must hold. */
  std::optional<Session::LogPosition> floor;
};

/** What the routes to a group ask of it, all together. */
struct GroupGoals
{
  /** How old reads may be at most; 0: all go to the primary. */
  Core::Duration longestStaleness{ 0 };
  /** How soon the most urgent operations should be over. */
  Core::Duration shortestTarget = Core::Duration::max();
};

/** One group of databases as this node sees it: chooses who runs what. */
class GroupRouter
{
public:
  GroupRouter(Core::Scheduler& aScheduler,
              Sql::DatabaseDialer& aDialer,
              std::string aName,
              std::string aDataCentre,
              Authority::AuthorityLease aLease,
              RemotePools* aRemote = nullptr);

  void SetDatabases(const std::vector<Database>& aDatabases);
  /** 0: the connections are other nodes'. */
  void SetConnectionLimit(int aLimit);
  int ConnectionLimit() const { return connectionLimit_; }
  void SetGoals(const GroupGoals& aGoals) { goals_ = aGoals; }

  void ObserveRecord(const Authority::GroupRecord& aRecord,
                     Core::Instant aRequestedAt);
  /** The store showed no change in answer to a question. */
  void RenewAuthority(Core::Instant aRequestedAt);

  /** None when no database may be used now. */
  std::optional<RoutingChoice> Choose(
    const RoutingRequirements& aRequirements) const;

  /**
   * True if statements take long at the primary, or wait long for it, while
   * every replica is too far behind for any read. Only a node that opens
   * connections itself can tell; where others check them out, it sees their
   * statements as well.
   */
  bool IsPrimaryOverloaded() const;

  /** An answer of a primary to a statement that was sent under authority. */
  void AddSample(Core::Instant aSentAt, const Session::LogPosition& aPosition);

  /** Runs aTask once, when something has changed that Choose depends on. */
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
  std::optional<Session::LogPosition> FloorOf(
    const RoutingRequirements& aRequirements) const;
  bool IsUsefulReplica(const ConnectionPool& aPool,
                       const RoutingRequirements& aRequirements,
                       const Session::LogPosition& aFloor) const;
  bool IsTooFarBehind(const ConnectionPool& aPool,
                      const Session::LogPosition& aFloor,
                      Core::Duration aMaxAge) const;
  Core::Duration CostOf(const ConnectionPool& aPool, bool aIsPrimary) const;
  void Wake();

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
  std::map<std::uint64_t, std::function<void()>> waiting_;
  std::uint64_t lastTicket_ = 0;
};

/** All groups' routers, by name. */
using GroupRouters = std::map<std::string, std::unique_ptr<GroupRouter>>;

} // namespace Pooler
