#define BOOST_TEST_MODULE Node
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeDatabases.h"
#include "FakeOwners.h"

#include <LibPooler/Node.h>

using namespace std::chrono_literals;
using Authority::StoredRow;
using Authority::WriteOutcome;
using Authority::WriteResult;

namespace {

constexpr Authority::AuthorityLease kLease{ 7500ms, 1200ms };
constexpr std::uint64_t kRecordVersion = 20;
constexpr Core::Duration kWithdrawal = 5s;

constexpr Core::Duration kLeavingTime = 3000ms;

/** A node without a network: the store accepts all writes, peers are silent. */
class Fixture
  : public Authority::CoordinationStore
  , public Pooler::PeerLink
  , public Pooler::Promoter
{
public:
  Fixture()
    : databases(time)
    , relays(time)
    , owners(time)
    , node(time,
           Settings(),
           { databases, *this, *this, *this, relays, owners },
           metrics,
           [](std::string_view, const boost::json::object&) {})
  {
    for (const std::string id : { "p", "a", "b" })
      databases.Add(id, id == "p");
    node.ApplyConfiguration(MakeConfiguration(5, "shop"));
    ListDatabases("");
  }
  ~Fixture() override { time.Close(); }

  static Pooler::NodeSettings Settings()
  {
    Pooler::NodeSettings settings;
    settings.self.name = "me";
    settings.self.incarnation = "1";
    settings.self.addresses = { { "127.0.0.1", 1 },
                                { "127.0.0.1", 2 },
                                { "127.0.0.1", 3 } };
    settings.authorityLease = kLease;
    settings.duty.lease = { 1600ms, 200ms, 500ms };
    settings.duty.supervisor.authorityLease = kLease;
    settings.duty.supervisor.probeInterval = 250ms;
    settings.duty.supervisor.probeTimeout = 500ms;
    settings.duty.supervisor.silenceLimit = 900ms;
    settings.duty.supervisor.leavingTime = kLeavingTime;
    settings.connectionShare = 0.7;
    settings.keys = { true, kWithdrawal };
    return settings;
  }

  static Pooler::Configuration MakeConfiguration(std::uint64_t aVersion,
                                                 const std::string& aDatabase)
  {
    Pooler::Configuration configuration;
    configuration.version = aVersion;
    configuration.routes[aDatabase].group = "g";
    configuration.groups["g"].maxConnections = 30;
    return configuration;
  }

  /** Requires keys, one of which is known, from now on. */
  void RequireKeys(std::uint64_t aVersion)
  {
    Pooler::Configuration configuration = MakeConfiguration(aVersion, "shop");
    configuration.requiresKeys = true;
    configuration.customerOfKey["k1"] = "c1";
    node.ApplyConfiguration(configuration);
  }
  Pooler::AccessDecision CheckKey(const std::string& aKey)
  {
    return node.CheckAccess(*node.FindRoute("shop"), aKey).decision;
  }

  void ListDatabases(const std::string& aLeaving)
  {
    const Core::Instant now = time.Now();
    Pooler::DatabaseList list;
    for (const std::string id : { "p", "a", "b" }) {
      list[id].id = id;
      list[id].group = "g";
      list[id].isLeaving = id == aLeaving;
      list[id].leavingSince = now;
    }
    node.ApplyDatabases(list);
  }

  /** Registers and applies the store's rows, which grants authority. */
  void RegisterNode()
  {
    node.Register([] {});
    AdvanceBy(10ms);
    ApplyRows(time.Now());
  }

  static StoredRow RecordRow()
  {
    Authority::GroupRecord record;
    record.group = "g";
    record.term = 1;
    record.primary = "p";
    return { "group/g", record.ToText(), kRecordVersion };
  }

  void ApplyRows(Core::Instant aRequestedAt)
  {
    StoredRow self = Pooler::MemberRoster::RowOf(Settings().self);
    self.version = 3;
    node.ApplyOwnRows(
      { true, { RecordRow(), self }, kRecordVersion, aRequestedAt });
  }

  void AdvanceBy(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }
  bool HoldsAuthority()
  {
    return node.FindRouter("g")->Authority().Holds(time.Now());
  }

  void Write(const StoredRow&, std::function<void(WriteOutcome)> aDone) override
  {
    time.DeferFor(2ms, [aDone] { aDone({ WriteResult::Applied, 3 }); });
  }
  void Remove(const StoredRow&, std::function<void(WriteOutcome)>) override {}
  void Read(const std::string&,
            std::function<void(std::optional<StoredRow>)>) override
  {
    // No lease is ever returned, so this node never acquires the duty.
  }
  void SendHeartbeat(const Pooler::Member&,
                     const Pooler::Heartbeat&,
                     std::function<void(Pooler::HeartbeatResponse)>) override
  {
  }
  void SendRecords(const Pooler::Member&,
                   const std::vector<Authority::GroupRecord>&,
                   std::function<void(Pooler::PeerDelivery)>) override
  {
  }
  void FetchRecords(
    const Pooler::Member&,
    const std::string&,
    std::function<void(std::vector<Pooler::RelayedRecord>)>) override
  {
  }
  void RequestShares(
    const Pooler::Member&,
    const Quota::ShareRequest&,
    std::function<void(std::optional<Quota::ShareResponse>)>) override
  {
  }
  void Promote(const Call&,
               std::function<void(Authority::PromoteResult)>) override
  {
  }

  Simulation::VirtualTime time;
  Fakes::FakeDatabases databases;
  Pooler::RelayTable relays;
  Fakes::FakeOwners owners;
  Metrics::Registry metrics;
  Pooler::Node node;
};

class FakeFeeds final : public Pooler::RowFeeds
{
public:
  Pooler::SeenVersions Seen() const override { return {}; }
  void OnSeenByPeer(const Pooler::SeenVersions&) override {}
  void RefreshOwnRows() override { ++refreshes; }
  void CheckForMissedRows(bool) override {}
  std::optional<Core::Instant> ConfigurationProvenAt() const override
  {
    return provenAt;
  }
  void RefreshConfiguration() override { ++configurationRefreshes; }

  int refreshes = 0;
  int configurationRefreshes = 0;
  std::optional<Core::Instant> provenAt;
};

/** How a response of the store shows that this node isn't a member. */
struct UnlistedCase
{
  const char* name;
  bool isSnapshot;
  /** The response has the row of this node. */
  bool isRowSent;
  /** The row has been removed; otherwise the node is expelled. */
  bool isRemoved;
};

std::ostream&
operator<<(std::ostream& aStream, const UnlistedCase& aCase)
{
  return aStream << aCase.name;
}

const UnlistedCase kUnlisted[] = {
  { "a snapshot in which it is expelled", true, true, false },
  { "a snapshot without it", true, false, false },
  { "a change that expels it", false, true, false },
  { "a change that removes it", false, true, true },
};

/** A heartbeat that arrives after the node's own authority has expired. */
struct HeartbeatCase
{
  const char* name;
  const char* receiver;
  bool hasEcho;
  /** The age of the echoed clock value when the heartbeat arrives. */
  Core::Duration echoAge;
  std::optional<std::uint64_t> newestRecord;
  bool renews;
};

std::ostream&
operator<<(std::ostream& aStream, const HeartbeatCase& aCase)
{
  return aStream << aCase.name;
}

const HeartbeatCase kHeartbeats[] = {
  { "a fresh echo", "me#1", true, 300ms, kRecordVersion, true },
  { "no echo yet", "me#1", false, 0ms, kRecordVersion, false },
  { "an echo older than the lease",
    "me#1",
    true,
    7600ms,
    kRecordVersion,
    false },
  { "an echo from before the registration",
    "me#1",
    true,
    30s,
    kRecordVersion,
    false },
  { "meant for an earlier process",
    "me#0",
    true,
    300ms,
    kRecordVersion,
    false },
  { "a newer record exists", "me#1", true, 300ms, kRecordVersion + 1, false },
  { "the sender can't confirm the newest record",
    "me#1",
    true,
    300ms,
    std::nullopt,
    false },
};

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture, AHeartbeatRenewsAuthority, kHeartbeats)
{
  AdvanceBy(1s);
  RegisterNode();
  AdvanceBy(10s);
  BOOST_REQUIRE(!HoldsAuthority());
  Pooler::Heartbeat heartbeat;
  heartbeat.sender = "holder#1";
  heartbeat.receiver = sample.receiver;
  if (sample.hasEcho)
    heartbeat.echo = time.Now() - sample.echoAge;
  heartbeat.newestRecord = sample.newestRecord;
  node.OnHeartbeat(heartbeat);
  BOOST_TEST(HoldsAuthority() == sample.renews);
}

BOOST_FIXTURE_TEST_SUITE(Nodes, Fixture)

BOOST_AUTO_TEST_CASE(AConfigurationNeverReverts)
{
  node.ApplyConfiguration(MakeConfiguration(7, "market"));
  node.ApplyConfiguration(MakeConfiguration(6, "shop"));
  BOOST_TEST(node.FindRoute("market") != nullptr);
  BOOST_TEST(node.FindRoute("shop") == nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingReplicaGetsNoNewReads)
{
  RegisterNode();
  AdvanceBy(500ms);
  Pooler::RoutingRequirements requirements;
  requirements.needsPrimary = false;
  requirements.maxStaleness = 1500ms;
  ListDatabases("a");
  for (int i = 0; i < 10; ++i) {
    const auto choice = node.FindRouter("g")->Choose(requirements);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->pool->Info().id != "a");
  }
}

/**
 * Guards against statements that are sent to a primary whose time to leave is
 * over: with synchronous replicas it stays primary for as long as no replica
 * can take over, and may end at any moment.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       ALeavingPrimaryIsUsedForALimitedTime,
                       boost::unit_test::data::make({ 0, 1 }))
{
  Pooler::Configuration configuration = MakeConfiguration(6, "shop");
  configuration.groups["g"].syncReplicas = sample;
  node.ApplyConfiguration(configuration);
  RegisterNode();
  ListDatabases("p");
  AdvanceBy(kLeavingTime - 100ms);
  BOOST_TEST(node.FindRouter("g")->Choose({}).has_value());
  AdvanceBy(200ms);
  const bool isLimited = sample > 0;
  BOOST_TEST(node.FindRouter("g")->Choose({}).has_value() != isLimited);
}

BOOST_AUTO_TEST_CASE(ResponsesToRequestsBeforeRegistrationGiveNoAuthority)
{
  const Core::Instant before = time.Now();
  node.Register([] {});
  AdvanceBy(10ms);
  ApplyRows(before);
  BOOST_TEST(!HoldsAuthority());
  ApplyRows(time.Now());
  BOOST_TEST(HoldsAuthority());
}

/**
 * Guards against a member that uses a primary after it has been replaced. The
 * others don't ask a member that is expelled or removed, so the response that
 * shows this must not grant it authority.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AResponseWithoutThisMemberGrantsNoAuthority,
                       boost::unit_test::data::make(kUnlisted))
{
  RegisterNode();
  AdvanceBy(10s);
  BOOST_REQUIRE(!HoldsAuthority());
  Pooler::Member self = Settings().self;
  self.isExpelled = true;
  StoredRow row = Pooler::MemberRoster::RowOf(self);
  row.version = kRecordVersion + 1;
  if (sample.isRemoved)
    row.value.clear();
  std::vector<StoredRow> rows{ RecordRow() };
  if (sample.isRowSent)
    rows.push_back(row);
  node.ApplyOwnRows(
    { sample.isSnapshot, rows, kRecordVersion + 1, time.Now() });
  BOOST_TEST(!HoldsAuthority());
}

BOOST_AUTO_TEST_CASE(ARecordFromAPeerEndsAuthorityAtOnce)
{
  RegisterNode();
  BOOST_REQUIRE(HoldsAuthority());
  Authority::GroupRecord change = *node.FindRouter("g")->Authority().Record();
  change.change = Authority::PrimaryChange{};
  ++change.version;
  node.OnRecord(change);
  BOOST_TEST(!HoldsAuthority());
  // The row follower lags behind and returns the earlier record.
  ApplyRows(time.Now());
  BOOST_TEST(!HoldsAuthority());
}

/** A node that missed a change of primary doesn't wait for its next poll. */
BOOST_AUTO_TEST_CASE(AHeartbeatWithANewerRecordRefreshesTheRows)
{
  FakeFeeds feeds;
  node.SetFeeds(&feeds);
  RegisterNode();
  Pooler::Heartbeat heartbeat;
  heartbeat.sender = "holder#1";
  heartbeat.receiver = "me#1";
  heartbeat.echo = time.Now();
  heartbeat.newestRecord = kRecordVersion;
  node.OnHeartbeat(heartbeat);
  BOOST_TEST(feeds.refreshes == 0);
  heartbeat.newestRecord = kRecordVersion + 1;
  node.OnHeartbeat(heartbeat);
  BOOST_TEST(feeds.refreshes == 1);
  node.SetFeeds(nullptr);
}

/**
 * Guards against authority over a primary that was replaced. A silent member
 * that missed the record of one group, and received a later one of another,
 * knows the newest record all the same.
 */
BOOST_AUTO_TEST_CASE(AHeartbeatRenewsNothingIfAnyRecordDiffers)
{
  FakeFeeds feeds;
  node.SetFeeds(&feeds);
  RegisterNode();
  Authority::GroupRecord other;
  other.group = "h";
  other.term = 1;
  other.primary = "q";
  other.version = kRecordVersion + 2;
  node.OnRecord(other);
  AdvanceBy(10s);
  BOOST_REQUIRE(!HoldsAuthority());
  Pooler::RecordVersions records;
  records.Set("g", kRecordVersion + 1);
  records.Set("h", kRecordVersion + 2);
  Pooler::Heartbeat heartbeat;
  heartbeat.sender = "holder#1";
  heartbeat.receiver = "me#1";
  heartbeat.echo = time.Now();
  heartbeat.newestRecord = records.Newest();
  heartbeat.recordsDigest = records.Digest();
  node.OnHeartbeat(heartbeat);
  BOOST_TEST(!HoldsAuthority());
  BOOST_TEST(feeds.refreshes == 1);
  records.Set("g", kRecordVersion);
  heartbeat.recordsDigest = records.Digest();
  node.OnHeartbeat(heartbeat);
  BOOST_TEST(HoldsAuthority());
  node.SetFeeds(nullptr);
}

/**
 * Guards against withdrawn keys: without proof that none has been withdrawn,
 * the node asks the store, refuses all keys, and isn't ready.
 */
BOOST_AUTO_TEST_CASE(KeysAreRefusedOnceTheProofIsTooOld)
{
  FakeFeeds feeds;
  node.SetFeeds(&feeds);
  RequireKeys(6);
  RegisterNode();
  feeds.provenAt = time.Now();
  AdvanceBy(3s);
  BOOST_TEST((CheckKey("k1") == Pooler::AccessDecision::Granted));
  BOOST_TEST((CheckKey("k2") == Pooler::AccessDecision::UnknownKey));
  BOOST_TEST(node.IsReady());
  BOOST_TEST(feeds.configurationRefreshes == 0);
  AdvanceBy(2s);
  BOOST_TEST((CheckKey("k1") == Pooler::AccessDecision::KeysUnproven));
  BOOST_TEST((CheckKey("k2") == Pooler::AccessDecision::KeysUnproven));
  BOOST_TEST(!node.IsReady());
  BOOST_TEST(feeds.configurationRefreshes > 0);
  feeds.provenAt = time.Now();
  AdvanceBy(100ms);
  BOOST_TEST((CheckKey("k1") == Pooler::AccessDecision::Granted));
  BOOST_TEST(node.IsReady());
  node.SetFeeds(nullptr);
}

/** A member that can't reach the store is served by the holder's proof. */
BOOST_AUTO_TEST_CASE(AHeartbeatProvesTheKeys)
{
  RequireKeys(6);
  RegisterNode();
  AdvanceBy(10s);
  Pooler::Heartbeat heartbeat;
  heartbeat.sender = "holder#1";
  heartbeat.receiver = "me#1";
  heartbeat.echo = time.Now() - 300ms;
  heartbeat.configuration = { 6, 500ms };
  node.OnHeartbeat(heartbeat);
  AdvanceBy(3900ms);
  BOOST_TEST((CheckKey("k1") == Pooler::AccessDecision::Granted));
  AdvanceBy(200ms);
  BOOST_TEST((CheckKey("k1") == Pooler::AccessDecision::KeysUnproven));
}

/** Without customers in the configuration, a proof is neither kept nor asked.
 */
BOOST_AUTO_TEST_CASE(NothingIsAskedWithoutKeys)
{
  FakeFeeds feeds;
  node.SetFeeds(&feeds);
  RegisterNode();
  AdvanceBy(7s);
  BOOST_TEST(feeds.configurationRefreshes == 0);
  BOOST_TEST(node.IsReady());
  node.SetFeeds(nullptr);
}

BOOST_AUTO_TEST_CASE(OnlyMembersReceiveTheAgesOfRecords)
{
  RegisterNode();
  const auto own = node.RecordsFor("me#1");
  BOOST_REQUIRE(own.size() == 1);
  BOOST_TEST(own.front().age.has_value());
  const auto stranger = node.RecordsFor("gone#1");
  BOOST_REQUIRE(stranger.size() == 1);
  BOOST_TEST(!stranger.front().age.has_value());
}

/**
 * Guards against nodes that start together and each open all connections of a
 * database, before they have read how many members share them: the database
 * refuses those of the owners.
 */
BOOST_AUTO_TEST_CASE(OpensNoMoreThanItsShareWhileMembersAreRead)
{
  constexpr int kMembers = 60;
  constexpr int kMostOfOneOwner = 7;
  Pooler::GroupRouter& router = *node.FindRouter("g");
  // Registered, it knows no member but itself.
  node.Register([] {});
  AdvanceBy(10ms);
  node.ApplyConfiguration(MakeConfiguration(6, "shop"));
  BOOST_TEST(router.ConnectionLimit() == 0);
  int limitOfWaiters = -1;
  router.WaitForChange([&] { limitOfWaiters = router.ConnectionLimit(); });
  Authority::FollowedRows rows{ true, { RecordRow() }, kRecordVersion, {} };
  for (int i = 0; i < kMembers; ++i) {
    Pooler::Member member = Settings().self;
    member.name = "node" + std::to_string(i);
    rows.rows.push_back(Pooler::MemberRoster::RowOf(member));
    rows.rows.back().version = 3;
  }
  rows.requestedAt = time.Now();
  node.ApplyOwnRows(rows);
  BOOST_TEST(router.ConnectionLimit() <= kMostOfOneOwner);
  BOOST_TEST(limitOfWaiters >= 0);
  BOOST_TEST(limitOfWaiters <= kMostOfOneOwner);
}

/**
 * After a power cut all nodes start at once, with statements waiting. A node
 * that doesn't know the other members yet must not take all connections of a
 * database for its own.
 */
BOOST_AUTO_TEST_CASE(OpensNoConnectionsBeforeItKnowsTheMembers)
{
  constexpr int kMembers = 85;
  Pooler::GroupRouter* router = node.FindRouter("g");
  BOOST_TEST(router->ConnectionLimit() == 0);
  node.Register([] {});
  AdvanceBy(10ms);
  int limitWithAuthority = -1;
  router->WaitForChange(
    [&] { limitWithAuthority = router->ConnectionLimit(); });
  std::vector<StoredRow> rows{ RecordRow() };
  for (int index = 0; index < kMembers; ++index) {
    Pooler::Member member = Settings().self;
    if (index > 0)
      member.name = "member-" + std::to_string(index);
    rows.push_back(Pooler::MemberRoster::RowOf(member));
    rows.back().version = 3;
  }
  node.ApplyOwnRows({ true, rows, kRecordVersion, time.Now() });
  const int usable = 21;
  BOOST_TEST(limitWithAuthority >= 0);
  BOOST_TEST(limitWithAuthority < usable / 2);
}

BOOST_AUTO_TEST_CASE(IsReadyOnlyWithAuthorityOverAPrimary)
{
  BOOST_TEST(!node.IsReady());
  RegisterNode();
  BOOST_TEST(node.IsReady());
  AdvanceBy(8s);
  BOOST_TEST(!node.IsReady());
  ApplyRows(time.Now());
  BOOST_TEST(node.IsReady());
  node.BeginStop();
  BOOST_TEST(!node.IsReady());
}

BOOST_AUTO_TEST_SUITE_END()
