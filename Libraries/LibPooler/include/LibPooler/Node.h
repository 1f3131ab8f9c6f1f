#pragma once

#include <LibAuthority/RowFollower.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/CapacityReview.h>
#include <LibPooler/CheckoutSession.h>
#include <LibPooler/ClientSession.h>
#include <LibPooler/FailoverDuty.h>
#include <LibPooler/Fleet.h>
#include <LibPooler/GroupRouter.h>
#include <LibPooler/KeyGuard.h>
#include <LibPooler/Membership.h>
#include <LibPooler/OverloadDetector.h>
#include <LibPooler/PoolReporter.h>
#include <LibPooler/QuotaExchange.h>
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
  /** This process as a member, without its addresses. */
  Member self;
  Authority::AuthorityLease authorityLease;
  FailoverDuty::Settings duty;
  /**
   * The fraction (0 to 1) of a database's connections that all nodes together
   * may open.
   */
  double connectionShare = 0;
  KeySettings keys{};
  /** How far customers may exceed their quotas. */
  Quota::Tolerance quotaTolerance{};
  /** Learn how fast each database is and how many statements it takes. */
  bool learnsCapacity = false;
};

/** The node's control over the feeds that read rows from the store. */
class RowFeeds
{
public:
  virtual ~RowFeeds() = default;
  virtual SeenVersions Seen() const = 0;
  /** Another node has seen aSeen; requests rows that are missing here. */
  virtual void OnSeenByPeer(const SeenVersions& aSeen) = 0;
  /** Requests changes of the system's own rows immediately. */
  virtual void RefreshOwnRows() = 0;
  /**
   * Requests all changes anew if the store has made writes of which no row has
   * arrived. Called on each tick. Only the holder of the failover duty can tell
   * (see Authority::VersionLedger).
   */
  virtual void CheckForMissedRows(bool aHoldsDuty) = 0;
  /**
   * Each configuration acknowledged before this instant has been applied; none
   * if there is no proof of that.
   */
  virtual std::optional<Core::Instant> ConfigurationProvenAt() const = 0;
  /** Requests changes of the configuration immediately. */
  virtual void RefreshConfiguration() = 0;
};

/** The external services that a node depends on. */
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
 * One node of the system, without its sockets. Combines the node's view of the
 * fleet, its membership, its share of the failover duty, and the routing of
 * sessions to databases.
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

  /** Sets this node's own addresses; must be called before Register. */
  void SetAddresses(MemberAddresses aAddresses);

  /** Registers this node as a member; aDone runs once it is registered. */
  void Register(std::function<void()> aDone);

  /** Ignores a configuration that isn't newer than the current one. */
  void ApplyConfiguration(Configuration aConfiguration);
  bool HasConfiguration() const { return hasConfiguration_; }
  /** Replaces the list of databases; aDatabases is complete. */
  void ApplyDatabases(DatabaseList aDatabases);

  /** Applies the system's own rows: groups' records and members. */
  void ApplyOwnRows(const Authority::FollowedRows& aRows);

  /** Sets the feeds; null if there are none any more. */
  void SetFeeds(RowFeeds* aFeeds) { feeds_ = aFeeds; }
  /** True while other nodes would notify this one of a change in the store. */
  bool IsNotifiedOfChanges() const;
  bool HoldsDuty() const { return duty_.Holds(); }
  const std::string& MemberKey() const override { return memberKey_; }
  /** The active members, this node included once it is registered. */
  std::vector<Member> Members() const { return membership_.Roster().Present(); }
  const KeySettings& Keys() const { return keys_.Settings(); }

  /** True if this node can serve clients; reported by the readiness check. */
  bool IsReady() const;

  /** Begins a stop: releases the failover duty and reports not ready. */
  void BeginStop();
  bool IsStopping() const { return isStopping_; }
  /** From now on only open transactions are continued. */
  void RefuseNewWork() { refusesWork_ = true; }
  /** Removes this node's membership; aDone runs when the store call ends. */
  void Leave(std::function<void()> aDone);

  const Route* FindRoute(std::string_view aDatabase) const override;
  Access CheckAccess(const Route& aRoute, std::string_view aKey) const override;
  Quota::Decision Admit(const std::string& aCustomer) override
  {
    return quotas_.Shares().Admit(aCustomer);
  }
  Quota::QuotaShares::WaitHandle AwaitAdmission(
    const std::string& aCustomer,
    Core::Duration aLimit,
    std::function<void(bool)> aDone) override
  {
    return quotas_.Shares().Wait(aCustomer, aLimit, std::move(aDone));
  }
  GroupRouter* FindRouter(const std::string& aGroup) override;
  Core::Duration TransactionIdleTimeout() const override;
  bool AcceptsWork() const override { return !refusesWork_; }
  void Report(const StatementReport& aReport) override;

  std::shared_ptr<ConnectionPool> OwnPool(
    const std::string& aDatabase) override;
  std::optional<RelayedSample> NewestSample(
    const std::string& aDatabase) const override;
  SlowDatabases SlowDatabasesBeside(
    const std::string& aDatabase) const override;
  Core::Duration CheckoutIdleTimeout() const override;
  Core::Duration CheckoutResponseTimeout() const override;

  HeartbeatResponse OnHeartbeat(const Heartbeat& aHeartbeat) override;
  void OnRecord(const Authority::GroupRecord& aRecord) override;
  std::vector<RelayedRecord> RecordsFor(
    const std::string& aMemberKey) const override;
  Quota::ShareResponse OnShareRequest(
    const Quota::ShareRequest& aRequest) override
  {
    return quotas_.Answer(aRequest);
  }

  /** Returns the address of a listed database, if it is listed. */
  std::optional<Wire::Address> AddressOf(const std::string& aDatabase) const;

  /** Sets all gauges to their current values. */
  void UpdateGauges();

private:
  /** Applies the row if it is a member's. */
  void ApplyMemberRow(const Authority::StoredRow& aRow);
  /**
   * After a snapshot of a restored store: lets records that it doesn't contain
   * be written again.
   */
  void NoteForgottenRecords(std::uint64_t aVersion);
  /** A group's row holds something that can't be read. */
  void NoteOverwrittenRecord(const std::string& aGroup, std::uint64_t aVersion);
  /** Applies the row if it is a group's record. */
  void ApplyGroupRow(const Authority::StoredRow& aRow,
                     Core::Instant aRequestedAt);
  void Observe(const Authority::GroupRecord& aRecord,
               Core::Instant aRequestedAt);
  GroupRouter& RouterOf(const std::string& aName);
  void UpdateRouterDatabases();
  /** How long a group's leaving primary may be used; none: no limit. */
  std::optional<Core::Duration> LeavingTimeOf(
    const GroupSettings& aSettings) const;
  void UpdateRouterGoals();
  void UpdateConnectionShares();
  void UpdateConnectionShare(GroupRouter& aRouter,
                             const std::vector<Member>& aPresent,
                             std::size_t aGroupIndex);
  void UpdateRelays();
  void Tick();
  void ExchangeSeenVersions();
  void RenewByHeartbeat(const Heartbeat& aHeartbeat);
  /** Keeps the proof that clients' keys haven't been withdrawn. */
  void MaintainProof();
  void FetchRecordsFromPeer();
  void OnRelayedRecords(const std::vector<RelayedRecord>& aRecords,
                        Core::Instant aRequestedAt);

  Core::Scheduler& scheduler_;
  NodeSettings settings_;
  NodeLinks links_;
  Metrics::Registry& metrics_;
  LogSink log_;
  std::string memberKey_;
  Membership membership_;
  FailoverDuty duty_;
  QuotaExchange quotas_;
  RemotePools remotePools_;
  Configuration configuration_;
  KeyGuard keys_;
  /** The longest statement timeout of all routes. */
  Core::Duration longestStatement_{ 0 };
  DatabaseList databases_;
  RowFeeds* feeds_ = nullptr;
  /**
   * When the last heartbeat arrived in which the holder of the failover duty
   * stated the version of the newest record.
   */
  Core::Instant holderConfirmedAt_ = Core::Instant::min();
  bool hasConfiguration_ = false;
  bool hasDatabases_ = false;
  bool hasRows_ = false;
  bool isStopping_ = false;
  bool refusesWork_ = false;
  GroupRouters routers_;
  SampleRefresher samples_;
  PoolReporter poolReporter_;
  OverloadDetector overload_;
  StatementLog statementLog_;
  CapacityReview capacity_;
  /** The send time of the latest store request that got a response. */
  Core::Instant lastStoreRequestAt_ = Core::Instant::min();
  bool isFetchingFromPeer_ = false;
  std::size_t nextPeer_ = 0;
  Core::TimerHandle tick_;
};

} // namespace Pooler
