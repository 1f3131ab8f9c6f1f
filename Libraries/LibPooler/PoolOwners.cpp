#include <LibPooler/PoolOwners.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace Pooler {

namespace {

/**
 * With fewer connections than this, a member's statements wait for each other
 * while connections of other members rest.
 */
constexpr int kLeastDirectShare = 2;

/** An owner has about so many connections, enough to order the work itself. */
constexpr int kConnectionsPerOwner = 6;

/** Owners in one data centre alone would all be lost with it. */
constexpr std::size_t kLeastOwners = 2;

struct Candidate
{
  const Member* member;
  double rank;
};

/** Weighted rendezvous hashing: lower is chosen first. */
double
RankOf(const std::string& aGroup, const Member& aMember)
{
  // The name, not the process: a restarted VM owns the same pools again.
  const std::uint64_t hash = Core::StableHash(aGroup + '/' + aMember.name);
  const double unit =
    (static_cast<double>(hash >> 11U) + 0.5) / static_cast<double>(1ULL << 53U);
  return -std::log(unit) / std::max(aMember.processors, 1e-3);
}

bool
ComesFirst(const Candidate& aLeft, const Candidate& aRight)
{
  if (aLeft.rank != aRight.rank)
    return aLeft.rank < aRight.rank;
  return aLeft.member->Key() < aRight.member->Key();
}

using Places = std::map<std::string, std::vector<Candidate>>;

Places
RankInPlaces(const std::string& aGroup, const std::vector<Member>& aPresent)
{
  Places places;
  for (const Member& member : aPresent)
    places[member.dataCentre].push_back({ &member, RankOf(aGroup, member) });
  for (auto& [name, candidates] : places)
    std::sort(candidates.begin(), candidates.end(), ComesFirst);
  return places;
}

/** The candidates that are aRound-th in their places, best first. */
std::vector<Candidate>
RoundOf(const Places& aPlaces, std::size_t aRound)
{
  std::vector<Candidate> round;
  for (const auto& [name, candidates] : aPlaces) {
    if (aRound < candidates.size())
      round.push_back(candidates[aRound]);
  }
  std::sort(round.begin(), round.end(), ComesFirst);
  return round;
}

/** The place of a member in a list; the list's size if it isn't there. */
std::size_t
PlaceOf(const std::vector<Member>& aMembers, const std::string& aKey)
{
  const auto found = std::find_if(
    aMembers.begin(), aMembers.end(), [&aKey](const Member& aMember) {
      return aMember.Key() == aKey;
    });
  return static_cast<std::size_t>(found - aMembers.begin());
}

} // namespace

std::vector<Member>
OwnersOf(const std::string& aGroup,
         const std::vector<Member>& aPresent,
         int aUsable)
{
  const auto members = static_cast<int>(aPresent.size());
  if (members == 0 || aUsable / members >= kLeastDirectShare)
    return {};
  const Places places = RankInPlaces(aGroup, aPresent);
  const std::size_t wanted =
    std::max({ static_cast<std::size_t>(aUsable / kConnectionsPerOwner),
               places.size(),
               kLeastOwners });
  std::vector<Member> owners;
  for (std::size_t round = 0; owners.size() < wanted; ++round) {
    const std::vector<Candidate> candidates = RoundOf(places, round);
    if (candidates.empty())
      break;
    for (const Candidate& candidate : candidates) {
      if (owners.size() < wanted)
        owners.push_back(*candidate.member);
    }
  }
  return owners;
}

ConnectionShare
ShareOf(const std::string& aGroup,
        const std::vector<Member>& aPresent,
        const std::string& aKey,
        int aUsable,
        std::size_t aTurn)
{
  ConnectionShare share;
  share.owners = OwnersOf(aGroup, aPresent, aUsable);
  const std::vector<Member>& sharers =
    share.owners.empty() ? aPresent : share.owners;
  const std::size_t place = PlaceOf(sharers, aKey);
  const bool isOwner = share.owners.empty() || place < sharers.size();
  if (!isOwner)
    return share;
  const int count = std::max(static_cast<int>(sharers.size()), 1);
  const int turn = static_cast<int>(place + aTurn) % count;
  share.connections = aUsable / count + (turn < aUsable % count ? 1 : 0);
  share.connections = std::max(share.connections, 1);
  return share;
}

} // namespace Pooler
