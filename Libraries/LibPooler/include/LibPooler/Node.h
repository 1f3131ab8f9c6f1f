#pragma once

#include <LibAuthority/RowFollower.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/CheckoutSession.h>
#include <LibPooler/ClientSession.h>
#include <LibPooler/FailoverDuty.h>
#include <LibPooler/Fleet.h>
#include <LibPooler/GroupRouter.h>
#include <LibPooler/Membership.h>
#include <LibPooler/OverloadDetector.h>
#include <LibPooler/RelayTable.h>
#include <LibPooler/SampleRefresher.h>
#include <LibPooler/StatementLog.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Pooler {

struct NodeSettings
{
  /** This process, as its peers see it, but for its addresses. */
  Member self;
  Authority::AuthorityLease authorityLease;
  FailoverDuty::Settings duty;
  /** The share of a database's connections that all nodes may open. */
  double connectionShare = 0;
};

/** The node's questions to the store, as far as the node steers them. */
class RowFeeds
{
public:
  virtual ~RowFeeds() = default;
  virtual SeenRows Seen() const = 0;
  /** Another node has seen these; what is missing here is asked for. */
  virtual void OnSeenElsewhere(const SeenRows& aSeen) = 0;
  /** Asks at once what has changed among the system's own rows. */
  virtual void RefreshOwn() = 0;
};

/** What a node reaches the outside by. */
struct NodeLinks
{
  Sql::DatabaseDialer& dialer;
  Authority::CoordinationStore& store;
  Promoter& promoter;
  PeerLink& peers;
  RelayTable& relays;
  CheckoutDialer& checkouts;
};

/**
 * One node of the system, without its sockets: what it knows of the fleet, its
 * part in the failover duty, and the sessions' way to the databases.
 */
class Node final
  : public SessionHost
  , public PeerHandler
  , public CheckoutHost
{
public:
  Node(Core::Scheduler& aScheduler,
       NodeSettings aSettings,
       NodeLinks aLinks,
       Metrics::Registry& aMetrics,
       LogSink aLog);
  ~Node() override;

  /** Where others reach this node; to be called before it registers. */
  void SetAddresses(MemberAddresses aAddresses);

  /** Takes part in the system; aDone runs once it does. */
  void Register(std::function<void()> aDone);

  /** A configuration older than the one in force is ignored. */
  void ApplyConfiguration(Configuration aConfiguration);
  bool HasConfiguration() const { return hasConfiguration_; }
  /** The whole list of databases, as it is now. */
  void ApplyDatabases(DatabaseList aDatabases);

  /** Rows of the system's own. */
  void ApplyOwnRows(const Authority::FollowedRows& aRows);

  /** Null: there are none any more. */
  void SetFeeds(RowFeeds* aFeeds) { feeds_ = aFeeds; }
  /** True while other nodes would tell of a change in the store. */
  bool HearsOfChanges() const;

  /** True when clients are better off here than elsewhere. */
  bool IsReady() const;

  /** Begins a stop: gives up the duty and says not to be ready. */
  void BeginStop();
  bool IsStopping() const { return isStopping_; }
  /** From now on only open transactions are served. */
  void RefuseNewWork() { refusesWork_ = true; }
  /** Takes no part any more; aDone runs once that is known, or soon. */
  void Leave(std::function<void()> aDone);

  const Route* FindRoute(std::string_view aDatabase) const override;
  GroupRouter* FindRouter(const std::string& aGroup) override;
  Core::Duration TransactionIdleTimeout() const override;
  bool AcceptsWork() const override { return !refusesWork_; }
  void Report(const StatementReport& aReport) override;

  std::shared_ptr<ConnectionPool> OwnPool(
    const std::string& aDatabase) override;
  std::optional<RelayedSample> NewestSample(
    const std::string& aDatabase) const override;
  Core::Duration CheckoutIdleLimit() const override;
  Core::Duration CheckoutAnswerLimit() const override;

  const std::string& MemberKey() const override { return memberKey_; }
  HeartbeatResponse OnHeartbeat(const Heartbeat& aHeartbeat) override;
  void OnRecord(const Authority::GroupRecord& aRecord) override;
  std::vector<RelayedRecord> RecordsFor(
    const std::string& aMemberKey) const override;

  /** Where a database that the platform lists answers. */
  std::optional<Wire::Address> AddressOf(const std::string& aDatabase) const;

  /** Sets the gauges that are read rather than counted. */
  void UpdateGauges();

private:
  void ApplyRow(const Authority::StoredRow& aRow, Core::Instant aRequestedAt);
  void ApplyGroupRow(const Authority::StoredRow& aRow,
                     Core::Instant aRequestedAt);
  void Observe(const Authority::GroupRecord& aRecord,
               Core::Instant aRequestedAt);
  GroupRouter& RouterOf(const std::string& aName);
  void ShareDatabases();
  void ShareGoals();
  void ShareConnections();
  void ShareGroup(GroupRouter& aRouter,
                  const std::vector<Member>& aPresent,
                  std::size_t aGroupIndex);
  void ShareRelays();
  void Tick();
  void ShareSeenRows();
  void RenewByHeartbeat(const Heartbeat& aHeartbeat);
  void AskPeer();
  void OnRelayed(const std::vector<RelayedRecord>& aRecords,
                 Core::Instant aRequestedAt);

  Core::Scheduler& scheduler_;
  NodeSettings settings_;
  NodeLinks links_;
  Metrics::Registry& metrics_;
  LogSink log_;
  std::string memberKey_;
  Membership membership_;
  FailoverDuty duty_;
  RemotePools remotePools_;
  Configuration configuration_;
  /** The longest time that any of its routes gives a statement. */
  Core::Duration longestStatement_{ 0 };
  DatabaseList databases_;
  RowFeeds* feeds_ = nullptr;
  /** When the duty's holder last answered for the state of the store. */
  Core::Instant heardHolderAt_ = Core::Instant::min();
  bool hasConfiguration_ = false;
  bool hasDatabases_ = false;
  bool hasRows_ = false;
  bool isStopping_ = false;
  bool refusesWork_ = false;
  GroupRouters routers_;
  SampleRefresher samples_;
  OverloadDetector overload_;
  StatementLog statementLog_;
  /** When the store was last asked a question that it answered. */
  Core::Instant storeAskedAt_ = Core::Instant::min();
  bool isAskingPeer_ = false;
  std::size_t nextPeer_ = 0;
  Core::TimerHandle tick_;
};

} // namespace Pooler
