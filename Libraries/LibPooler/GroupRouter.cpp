#include <LibPooler/GroupRouter.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/**
 * A replica that was behind this recently is taken to be behind still; replicas
 * apply within some tens of milliseconds.
 */
constexpr Core::Duration kLagMemory = std::chrono::milliseconds(120);

/**
 * Reads try a replica that was behind again after kLagMemory, so that under
 * load its position is known to within this.
 */
constexpr Core::Duration kKnownPositionAge = std::chrono::milliseconds(1000);

/**
 * The share of the most urgent route's target latency that a primary which
 * keeps up needs at most. The rest is for transactions of some statements.
 */
constexpr double kTargetShare = 0.5;

/** A database in another data centre costs this much more than one nearby. */
constexpr Core::Duration kRemoteCost = std::chrono::milliseconds(5);

/** Reads leave the primary to writes unless replicas are this much slower. */
constexpr Core::Duration kPrimaryCost = std::chrono::milliseconds(40);

/** A database that gave no answer lately is taken only without another. */
constexpr Core::Duration kSuspectCost = std::chrono::seconds(5);

} // namespace

GroupRouter::GroupRouter(Core::Scheduler& aScheduler,
                         Sql::DatabaseDialer& aDialer,
                         std::string aName,
                         std::string aDataCentre,
                         Authority::AuthorityLease aLease,
                         RemotePools* aRemote)
  : scheduler_(aScheduler)
  , dialer_(aDialer)
  , name_(std::move(aName))
  , dataCentre_(std::move(aDataCentre))
  , remote_(aRemote)
  , authority_(aLease)
{
}

void
GroupRouter::SetDatabases(const std::vector<Database>& aDatabases)
{
  std::map<std::string, std::shared_ptr<ConnectionPool>> kept;
  for (const Database& database : aDatabases) {
    const auto known = pools_.find(database.id);
    const bool isSame = known != pools_.end() &&
                        known->second->Info().host == database.host &&
                        known->second->Info().port == database.port &&
                        known->second->Info().startedAt == database.startedAt;
    if (isSame) {
      known->second->Update(database);
      kept.insert(*known);
      continue;
    }
    auto pool =
      std::make_shared<ConnectionPool>(scheduler_, dialer_, database, remote_);
    pool->SetLimit(connectionLimit_);
    pool->SetSampleSink(
      [this](Core::Instant aSentAt, const Session::LogPosition& aPosition) {
        AddSample(aSentAt, aPosition);
      });
    kept.emplace(database.id, std::move(pool));
  }
  const auto old = std::exchange(pools_, std::move(kept));
  for (const auto& [id, pool] : old) {
    const auto now = pools_.find(id);
    if (now == pools_.end() || now->second != pool)
      pool->Retire();
  }
  Wake();
}

void
GroupRouter::SetConnectionLimit(int aLimit)
{
  connectionLimit_ = aLimit;
  for (const auto& [id, pool] : pools_)
    pool->SetLimit(aLimit);
}

void
GroupRouter::ObserveRecord(const Authority::GroupRecord& aRecord,
                           Core::Instant aRequestedAt)
{
  if (authority_.Observe(aRecord, aRequestedAt))
    samples_.Clamp(aRecord.starts);
  Wake();
}

void
GroupRouter::RenewAuthority(Core::Instant aRequestedAt)
{
  const bool held = authority_.Holds(scheduler_.Now());
  authority_.Renew(aRequestedAt);
  if (!held)
    Wake();
}

std::optional<Session::LogPosition>
GroupRouter::FloorOf(const RoutingRequirements& aRequirements) const
{
  auto floor = samples_.FloorFor(scheduler_.Now(), aRequirements.maxStaleness);
  if (!floor || !aRequirements.sessionFloor)
    return floor;
  const auto own = authority_.Record()
                     ? Authority::ClampToTerms(*aRequirements.sessionFloor,
                                               authority_.Record()->starts)
                     : *aRequirements.sessionFloor;
  return std::max(*floor, own);
}

bool
GroupRouter::IsUsefulReplica(const ConnectionPool& aPool,
                             const RoutingRequirements& aRequirements,
                             const Session::LogPosition& aFloor) const
{
  if (aPool.Info().isLeaving ||
      aRequirements.excluded.contains(aPool.Info().id))
    return false;
  return !IsTooFarBehind(aPool, aFloor, kLagMemory);
}

bool
GroupRouter::IsTooFarBehind(const ConnectionPool& aPool,
                            const Session::LogPosition& aFloor,
                            Core::Duration aMaxAge) const
{
  return aPool.Position() && *aPool.Position() < aFloor &&
         scheduler_.Now() - aPool.PositionAt() < aMaxAge;
}

bool
GroupRouter::IsPrimaryOverloaded() const
{
  const Core::Instant now = scheduler_.Now();
  const auto floor = samples_.FloorFor(now, goals_.longestStaleness);
  const auto& record = authority_.Record();
  if (!floor || !record)
    return false;
  const auto primary = pools_.find(record->primary);
  if (primary == pools_.end() || !primary->second->IsOwner())
    return false;
  const auto limit = goals_.shortestTarget * kTargetShare;
  if (primary->second->LongestWait() < limit &&
      primary->second->UsualLatency() < limit)
    return false;
  return std::all_of(pools_.begin(), pools_.end(), [&](const auto& aEntry) {
    const ConnectionPool& pool = *aEntry.second;
    return aEntry.first == record->primary || pool.Info().isLeaving ||
           pool.IsSuspect() || IsTooFarBehind(pool, *floor, kKnownPositionAge);
  });
}

Core::Duration
GroupRouter::CostOf(const ConnectionPool& aPool, bool aIsPrimary) const
{
  Core::Duration cost = aPool.ExpectedLatency();
  if (aPool.Info().dataCentre != dataCentre_)
    cost += kRemoteCost;
  if (aIsPrimary)
    cost += kPrimaryCost;
  if (aPool.IsSuspect())
    cost += kSuspectCost;
  return cost;
}

std::optional<RoutingChoice>
GroupRouter::ChoosePrimary(const RoutingRequirements& aRequirements) const
{
  if (!authority_.Holds(scheduler_.Now()))
    return std::nullopt;
  const Authority::GroupRecord& record = *authority_.Record();
  const auto pool = pools_.find(record.primary);
  if (pool == pools_.end() || aRequirements.excluded.contains(record.primary))
    return std::nullopt;
  RoutingChoice choice;
  choice.pool = pool->second;
  choice.isPrimary = true;
  choice.term = record.term;
  choice.needsFencedRead = !authority_.HoldsForPlainReads(scheduler_.Now());
  return choice;
}

std::optional<RoutingChoice>
GroupRouter::Choose(const RoutingRequirements& aRequirements) const
{
  std::optional<RoutingChoice> best = ChoosePrimary(aRequirements);
  if (aRequirements.needsPrimary)
    return best;
  const auto floor = FloorOf(aRequirements);
  if (!floor)
    return best;
  Core::Duration bestCost =
    best ? CostOf(*best->pool, true) : Core::Duration::max();
  const std::string primary =
    authority_.Record() ? authority_.Record()->primary : "";
  for (const auto& [id, pool] : pools_) {
    // With authority the primary has been weighed above; without, it is a log
    // like any other, which the floor checks.
    if (best && best->isPrimary && id == primary && best->pool == pool)
      continue;
    if (!IsUsefulReplica(*pool, aRequirements, *floor))
      continue;
    const Core::Duration cost = CostOf(*pool, id == primary);
    if (cost >= bestCost)
      continue;
    bestCost = cost;
    best = RoutingChoice{};
    best->pool = pool;
    best->floor = floor;
  }
  return best;
}

void
GroupRouter::AddSample(Core::Instant aSentAt,
                       const Session::LogPosition& aPosition)
{
  // Another node may have been told of a promotion later than this one.
  const auto& record = authority_.Record();
  samples_.Add(aSentAt,
               record ? Authority::ClampToTerms(aPosition, record->starts)
                      : aPosition);
}

std::uint64_t
GroupRouter::WaitForChange(std::function<void()> aTask)
{
  waiting_.emplace(++lastTicket_, std::move(aTask));
  return lastTicket_;
}

void
GroupRouter::CancelWait(std::uint64_t aTicket)
{
  waiting_.erase(aTicket);
}

void
GroupRouter::Wake()
{
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, task] : waiting_)
    tickets.push_back(ticket);
  for (const std::uint64_t ticket : tickets) {
    // One task may have cancelled another.
    auto node = waiting_.extract(ticket);
    if (node)
      node.mapped()();
  }
}

} // namespace Pooler
