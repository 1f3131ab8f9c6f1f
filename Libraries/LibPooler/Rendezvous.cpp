#include <LibPooler/Rendezvous.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>

namespace Pooler {

double
RendezvousRank(const std::string& aKey, const Member& aMember)
{
  // Hashes the name without the incarnation, so that a restarted VM is chosen
  // for the same keys as before.
  const std::uint64_t hash = Core::StableHash(aKey + '/' + aMember.name);
  const double uniform =
    (static_cast<double>(hash >> 11U) + 0.5) / static_cast<double>(1ULL << 53U);
  return -std::log(uniform) / std::max(aMember.processors, 1e-3);
}

} // namespace Pooler
