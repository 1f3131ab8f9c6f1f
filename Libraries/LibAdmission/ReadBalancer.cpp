#include <LibAdmission/ReadBalancer.h>

#include <algorithm>

namespace Admission {

namespace {

/** Costs within this factor of the least one count as equal. */
constexpr double kEqualCosts = 1.15;

/** A database that was observed more recently needs no probe. */
constexpr Core::Duration kMinUnobserved = std::chrono::milliseconds(500);

/** The number of reads for one probe. */
constexpr int kReadsPerProbe = 20;

/** Weight of the newest read in the shares. */
constexpr double kShareWeight = 0.02;

} // namespace

bool
ReadBalancer::IsProbeDue(Core::Instant aNow,
                         const ReadCandidate& aCandidate) const
{
  return aCandidate.mayBeProbed && readsSinceProbe_ >= kReadsPerProbe &&
         aCandidate.observedAt < aNow - kMinUnobserved;
}

std::uint64_t
ReadBalancer::LastReadOf(const ReadCandidate& aCandidate) const
{
  const auto use = used_.find(aCandidate.database);
  return use == used_.end() ? 0 : use->second.lastRead;
}

std::size_t
ReadBalancer::Choose(Core::Instant aNow,
                     std::span<const ReadCandidate> aCandidates) const
{
  const auto probe = std::find_if(
    aCandidates.begin(), aCandidates.end(), [&](const auto& aCandidate) {
      return IsProbeDue(aNow, aCandidate);
    });
  if (probe != aCandidates.end())
    return static_cast<std::size_t>(probe - aCandidates.begin());
  const auto least =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.cost < aRight.cost;
                     });
  const double limit = static_cast<double>(least->cost.count()) * kEqualCosts;
  auto best = least;
  for (auto other = aCandidates.begin(); other != aCandidates.end(); ++other) {
    const bool isEqual = static_cast<double>(other->cost.count()) <= limit;
    if (isEqual && LastReadOf(*other) < LastReadOf(*best))
      best = other;
  }
  return static_cast<std::size_t>(best - aCandidates.begin());
}

void
ReadBalancer::RecordChoice(Core::Instant aNow, const ReadCandidate& aChosen)
{
  readsSinceProbe_ = IsProbeDue(aNow, aChosen) ? 0 : readsSinceProbe_ + 1;
  used_[aChosen.database].lastRead = ++reads_;
  for (auto& [database, use] : used_) {
    const double isChosen = database == aChosen.database ? 1 : 0;
    use.share += kShareWeight * (isChosen - use.share);
  }
}

double
ReadBalancer::ShareOf(const std::string& aDatabase) const
{
  const auto use = used_.find(aDatabase);
  return use == used_.end() ? 0 : use->second.share;
}

} // namespace Admission
