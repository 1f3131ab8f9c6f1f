#include <LibPooler/DutyCandidacy.h>

#include <LibCore/Hash.h>

#include <bit>
#include <utility>

namespace Pooler {

namespace {

/** The size of the first cohort. Each later one doubles the total. */
constexpr std::size_t kFirstCohort = 4;

/** The time between the cohorts: enough to read and write the lease. */
constexpr Core::Duration kCohortDelay = std::chrono::milliseconds(400);

/** Members that start together have registered by then. */
constexpr Core::Duration kSettleTime = std::chrono::milliseconds(400);

} // namespace

DutyCandidacy::DutyCandidacy(std::string aSelf, double aProcessors)
  : self_(std::move(aSelf))
  , processors_(aProcessors)
{
}

void
DutyCandidacy::OnVacant(const MemberRoster& aRoster, Core::Instant aNow)
{
  if (!vacantSince_)
    vacantSince_ = aNow;
  delay_ = DelayOf(RankOf(self_, processors_, aRoster));
}

bool
DutyCandidacy::MayRead(Core::Instant aNow) const
{
  return vacantSince_ && aNow - *vacantSince_ >= delay_;
}

bool
DutyCandidacy::MayAcquire(Core::Instant aNow) const
{
  return vacantSince_ && aNow - *vacantSince_ >= delay_ + kSettleTime;
}

std::size_t
DutyCandidacy::RankOf(const std::string& aName,
                      double aProcessors,
                      const MemberRoster& aRoster)
{
  const std::uint64_t hash = Core::StableHash(aName);
  std::size_t rank = 0;
  for (const auto& [key, member] : aRoster.All()) {
    if (member.isExpelled || member.name == aName)
      continue;
    const bool isBefore = member.processors != aProcessors
                            ? member.processors > aProcessors
                            : std::pair(Core::StableHash(member.name),
                                        member.name) < std::pair(hash, aName);
    rank += isBefore ? 1 : 0;
  }
  return rank;
}

Core::Duration
DutyCandidacy::DelayOf(std::size_t aRank)
{
  return kCohortDelay * std::bit_width(aRank / kFirstCohort);
}

} // namespace Pooler
