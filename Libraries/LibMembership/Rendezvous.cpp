#include <LibMembership/Rendezvous.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <tuple>

namespace Membership {

std::vector<const Member*>
RankMembers(const std::vector<Member>& aMembers,
            const std::string& aKey,
            const std::string& aDataCentre)
{
  struct Ranked
  {
    bool isLocal;
    std::uint64_t score;
    const Member* member;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aMembers.size());
  for (const Member& member : aMembers)
    ranked.push_back({ member.dataCentre == aDataCentre,
                       Core::StableHash(aKey + '|' + member.name),
                       &member });
  std::sort(ranked.begin(),
            ranked.end(),
            [](const Ranked& aLeft, const Ranked& aRight) {
              return std::tie(aLeft.isLocal, aLeft.score) >
                     std::tie(aRight.isLocal, aRight.score);
            });
  std::vector<const Member*> order;
  order.reserve(ranked.size());
  for (const Ranked& entry : ranked)
    order.push_back(entry.member);
  return order;
}

} // namespace Membership
