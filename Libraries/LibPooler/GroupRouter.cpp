#include <LibPooler/GroupRouter.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/**
 * How long a replica that was seen behind is assumed to be still behind.
 * Replicas apply the log within some tens of milliseconds.
 */
constexpr Core::Duration kLagObservationLifetime =
  std::chrono::milliseconds(120);

/**
 * Maximum age of a replica's position in the detection of overload. Reads retry
 * a replica that was behind after kLagObservationLifetime, so under load its
 * position is seen more often than this.
 */
constexpr Core::Duration kMaxPositionAge = std::chrono::milliseconds(1000);

/**
 * A primary that keeps up needs at most this share of the shortest target
 * latency for a statement, or for a connection. The rest is left for operations
 * that are transactions of several statements.
 */
constexpr double kMaxTargetLatencyShare = 0.5;

/** Added to the cost of a database in another data centre. */
constexpr Core::Duration kRemoteDataCentreCost = std::chrono::milliseconds(5);

/**
 * Added to the cost of the primary for a read, so that the primary is left to
 * writes unless the replicas are this much slower.
 */
constexpr Core::Duration kPrimaryReadCost = std::chrono::milliseconds(40);

/**
 * Added to the cost of a database that recently failed to reply, so that it is
 * chosen only if there is no other.
 */
constexpr Core::Duration kSuspectCost = std::chrono::seconds(5);

/** A database with a lower slowness isn't reported to borrowers. */
constexpr double kMinSlowness = 1.3;

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
GroupRouter::LearnCapacity()
{
  workTimes_ = std::make_shared<Admission::WorkTimes>();
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
    if (workTimes_ != nullptr)
      pool->LearnCapacity(
        workTimes_, [this](const SlowDatabases& aSlow) { AdoptSlow(aSlow); });
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
    if (now == pools_.end())
      balancer_.Forget(id);
    if (now == pools_.end() || now->second != pool)
      pool->Retire();
  }
  NotifyWaiters();
}

void
GroupRouter::SetConnectionLimit(int aLimit)
{
  connectionLimit_ = aLimit;
  for (const auto& [id, pool] : pools_)
    pool->SetLimit(aLimit);
}

bool
GroupRouter::ObserveRecord(const Authority::GroupRecord& aRecord,
                           Core::Instant aRequestedAt)
{
  const bool isNew = authority_.Observe(aRecord, aRequestedAt);
  if (isNew)
    samples_.Clamp(authority_.Record()->starts);
  NotifyWaiters();
  return isNew;
}

void
GroupRouter::RenewAuthority(Core::Instant aRequestedAt)
{
  const bool held = authority_.Holds(scheduler_.Now());
  authority_.Renew(aRequestedAt);
  if (!held)
    NotifyWaiters();
}

std::optional<Session::LogPosition>
GroupRouter::FloorOf(const RoutingRequirements& aRequirements) const
{
  auto floor = samples_.FloorFor(scheduler_.Now(), aRequirements.maxStaleness);
  if (!floor || !aRequirements.sessionFloor)
    return floor;
  const auto ownFloor = authority_.Record()
                          ? Authority::ClampToTerms(*aRequirements.sessionFloor,
                                                    authority_.Record()->starts)
                          : *aRequirements.sessionFloor;
  return std::max(*floor, ownFloor);
}

bool
GroupRouter::IsEligibleReplica(const ConnectionPool& aPool,
                               const RoutingRequirements& aRequirements,
                               const Session::LogPosition& aFloor) const
{
  if (aPool.Info().isLeaving ||
      aRequirements.excluded.contains(aPool.Info().id))
    return false;
  return !IsTooFarBehind(aPool, aFloor, kLagObservationLifetime);
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
  const auto limit = goals_.shortestTargetLatency * kMaxTargetLatencyShare;
  if (primary->second->LongestWait() < limit &&
      primary->second->AverageLatency() < limit)
    return false;
  return std::all_of(pools_.begin(), pools_.end(), [&](const auto& aEntry) {
    const ConnectionPool& pool = *aEntry.second;
    return aEntry.first == record->primary || pool.Info().isLeaving ||
           pool.IsSuspect() || IsTooFarBehind(pool, *floor, kMaxPositionAge);
  });
}

SlowDatabases
GroupRouter::LearnedSlow() const
{
  SlowDatabases slow;
  for (const auto& [id, pool] : pools_) {
    if (pool->Capacity() == nullptr)
      continue;
    const double slowness = pool->Capacity()->Slowness(scheduler_.Now());
    if (slowness >= kMinSlowness)
      slow.emplace(id, slowness);
  }
  return slow;
}

void
GroupRouter::AdoptSlow(const SlowDatabases& aSlow)
{
  for (const auto& [id, pool] : pools_) {
    if (pool->IsOwner())
      continue;
    const auto reported = aSlow.find(id);
    pool->AdoptSlowness(reported == aSlow.end() ? 1.0 : reported->second);
  }
}

Core::Duration
GroupRouter::CostOf(const ConnectionPool& aPool, bool aIsPrimary) const
{
  Core::Duration cost = aPool.ExpectedLatency();
  if (aPool.Info().dataCentre != dataCentre_)
    cost += kRemoteDataCentreCost;
  if (aIsPrimary)
    cost += kPrimaryReadCost;
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
  const Database& primary = pool->second->Info();
  if (leavingTime_ && primary.isLeaving &&
      scheduler_.Now() - primary.leavingSince > *leavingTime_)
    return std::nullopt;
  RoutingChoice choice;
  choice.pool = pool->second;
  choice.isPrimary = true;
  choice.term = record.term;
  choice.needsFencedRead = !authority_.HoldsForPlainReads(scheduler_.Now());
  return choice;
}

std::vector<RoutingChoice>
GroupRouter::ReadChoices(const RoutingRequirements& aRequirements) const
{
  std::vector<RoutingChoice> choices;
  if (auto primary = ChoosePrimary(aRequirements))
    choices.push_back(std::move(*primary));
  const auto floor = FloorOf(aRequirements);
  if (!floor)
    return choices;
  for (const auto& [id, pool] : pools_) {
    // With authority, the primary is already a choice. Without, it may be used
    // like a replica if its log holds the floor.
    if (!choices.empty() && choices.front().pool == pool)
      continue;
    if (!IsEligibleReplica(*pool, aRequirements, *floor))
      continue;
    RoutingChoice choice;
    choice.pool = pool;
    choice.floor = floor;
    choices.push_back(std::move(choice));
  }
  return choices;
}

Admission::ReadCandidate
GroupRouter::CandidateOf(const RoutingChoice& aChoice) const
{
  const ConnectionPool& pool = *aChoice.pool;
  const bool isPrimary = IsRecordedPrimary(pool);
  Admission::ReadCandidate candidate;
  candidate.database = pool.Info().id;
  candidate.cost = CostOf(pool, isPrimary);
  if (pool.Capacity() != nullptr)
    candidate.observedAt = pool.Capacity()->ObservedAt();
  candidate.mayBeProbed = !isPrimary && !pool.IsSuspect();
  return candidate;
}

bool
GroupRouter::IsRecordedPrimary(const ConnectionPool& aPool) const
{
  const auto& record = authority_.Record();
  return record && record->primary == aPool.Info().id;
}

std::size_t
GroupRouter::BestOf(const std::vector<RoutingChoice>& aChoices) const
{
  std::vector<Admission::ReadCandidate> candidates;
  candidates.reserve(aChoices.size());
  for (const RoutingChoice& choice : aChoices)
    candidates.push_back(CandidateOf(choice));
  if (workTimes_ != nullptr)
    return balancer_.Choose(scheduler_.Now(), candidates);
  const auto best = std::min_element(candidates.begin(),
                                     candidates.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.cost < aRight.cost;
                                     });
  return static_cast<std::size_t>(best - candidates.begin());
}

std::optional<RoutingChoice>
GroupRouter::Choose(const RoutingRequirements& aRequirements) const
{
  if (aRequirements.needsPrimary)
    return ChoosePrimary(aRequirements);
  const std::vector<RoutingChoice> choices = ReadChoices(aRequirements);
  if (choices.empty())
    return std::nullopt;
  return choices[BestOf(choices)];
}

void
GroupRouter::RecordChoice(const RoutingRequirements& aRequirements,
                          const RoutingChoice& aChoice)
{
  if (!aRequirements.needsPrimary && workTimes_ != nullptr)
    balancer_.RecordChoice(scheduler_.Now(), CandidateOf(aChoice));
}

void
GroupRouter::AddSample(Core::Instant aSentAt,
                       const Session::LogPosition& aPosition)
{
  // The sample may come from a node that hasn't learned of a promotion yet.
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
GroupRouter::NotifyWaiters()
{
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, task] : waiting_)
    tickets.push_back(ticket);
  for (const std::uint64_t ticket : tickets) {
    // An earlier task may have cancelled this one.
    auto node = waiting_.extract(ticket);
    if (node)
      node.mapped()();
  }
}

} // namespace Pooler
