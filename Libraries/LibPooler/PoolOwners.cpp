#include <LibPooler/PoolOwners.h>

#include <LibPooler/Rendezvous.h>

#include <algorithm>
#include <map>

namespace Pooler {

namespace {

/**
 * Members open connections directly if each gets at least this many. With
 * fewer, statements of one member wait for each other while connections of
 * other members are idle.
 */
constexpr int kMinDirectShare = 2;

/**
 * The approximate number of connections of each owner: enough for the owner to
 * order the statements of all borrowers itself.
 */
constexpr int kConnectionsPerOwner = 6;

/**
 * The minimum number of owners. Owners in a single data centre would all be
 * lost with it.
 */
constexpr std::size_t kMinOwners = 2;

struct Candidate
{
  const Member* member;
  double rank;
};

bool
RanksBefore(const Candidate& aLeft, const Candidate& aRight)
{
  if (aLeft.rank != aRight.rank)
    return aLeft.rank < aRight.rank;
  return aLeft.member->Key() < aRight.member->Key();
}

using CandidatesByDataCentre = std::map<std::string, std::vector<Candidate>>;

CandidatesByDataCentre
RankByDataCentre(const std::string& aGroup, const std::vector<Member>& aPresent)
{
  CandidatesByDataCentre candidatesByDataCentre;
  for (const Member& member : aPresent)
    candidatesByDataCentre[member.dataCentre].push_back(
      { &member, RendezvousRank(aGroup, member) });
  for (auto& [name, candidates] : candidatesByDataCentre)
    std::sort(candidates.begin(), candidates.end(), RanksBefore);
  return candidatesByDataCentre;
}

/** The candidates at index aRound in each data centre, lowest rank first. */
std::vector<Candidate>
RoundOf(const CandidatesByDataCentre& aCandidatesByDataCentre,
        std::size_t aRound)
{
  std::vector<Candidate> round;
  for (const auto& [name, candidates] : aCandidatesByDataCentre) {
    if (aRound < candidates.size())
      round.push_back(candidates[aRound]);
  }
  std::sort(round.begin(), round.end(), RanksBefore);
  return round;
}

/** The index of a member in a list; the list's size if it isn't in it. */
std::size_t
IndexOf(const std::vector<Member>& aMembers, const std::string& aKey)
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
  if (members == 0 || aUsable / members >= kMinDirectShare)
    return {};
  const CandidatesByDataCentre candidatesByDataCentre =
    RankByDataCentre(aGroup, aPresent);
  const std::size_t wanted =
    std::max({ static_cast<std::size_t>(aUsable / kConnectionsPerOwner),
               candidatesByDataCentre.size(),
               kMinOwners });
  std::vector<Member> owners;
  for (std::size_t round = 0; owners.size() < wanted; ++round) {
    const std::vector<Candidate> candidates =
      RoundOf(candidatesByDataCentre, round);
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
        std::size_t aRotation)
{
  ConnectionShare share;
  share.owners = OwnersOf(aGroup, aPresent, aUsable);
  const std::vector<Member>& sharers =
    share.owners.empty() ? aPresent : share.owners;
  const std::size_t index = IndexOf(sharers, aKey);
  const bool isOwner = share.owners.empty() || index < sharers.size();
  if (!isOwner)
    return share;
  const int count = std::max(static_cast<int>(sharers.size()), 1);
  const int rotatedIndex = static_cast<int>(index + aRotation) % count;
  share.connections =
    aUsable / count + (rotatedIndex < aUsable % count ? 1 : 0);
  share.connections = std::max(share.connections, 1);
  return share;
}

} // namespace Pooler
