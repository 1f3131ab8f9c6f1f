#include <LibPooler/OwnerChoice.h>

#include <LibPooler/Rendezvous.h>

#include <algorithm>
#include <tuple>

namespace Pooler {

namespace {

/** A node leaves the first choice with this many more checkouts there. */
constexpr int kMaxExtraCheckouts = 4;

} // namespace

const Member*
ChooseNearbyOwner(const std::vector<OwnerCandidate>& aCandidates,
                  const std::string& aDataCentre)
{
  const auto cost = [&aDataCentre](const OwnerCandidate& aCandidate) {
    const bool isRemote = aCandidate.member->dataCentre != aDataCentre;
    return std::tuple(aCandidate.isSuspect, isRemote, aCandidate.inUse);
  };
  const auto best =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [&cost](const auto& aLeft, const auto& aRight) {
                       return cost(aLeft) < cost(aRight);
                     });
  return best == aCandidates.end() ? nullptr : best->member;
}

const Member*
ChooseOwnerForCustomer(const std::vector<OwnerCandidate>& aCandidates,
                       const std::string& aGroup,
                       const std::string& aCustomer)
{
  struct Choice
  {
    double rank;
    const OwnerCandidate* candidate;
  };
  const std::string key = aGroup + '/' + aCustomer;
  std::vector<Choice> choices;
  choices.reserve(aCandidates.size());
  for (const OwnerCandidate& candidate : aCandidates)
    choices.push_back({ RendezvousRank(key, *candidate.member), &candidate });
  std::sort(choices.begin(),
            choices.end(),
            [](const Choice& aLeft, const Choice& aRight) {
              return std::tuple(aLeft.candidate->isSuspect, aLeft.rank) <
                     std::tuple(aRight.candidate->isSuspect, aRight.rank);
            });
  if (choices.empty())
    return nullptr;
  const OwnerCandidate& first = *choices.front().candidate;
  if (choices.size() == 1 || choices[1].candidate->isSuspect)
    return first.member;
  const OwnerCandidate& second = *choices[1].candidate;
  return first.inUse - second.inUse >= kMaxExtraCheckouts ? second.member
                                                          : first.member;
}

} // namespace Pooler
