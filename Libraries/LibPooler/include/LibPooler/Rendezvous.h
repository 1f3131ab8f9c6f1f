#pragma once

#include <LibPooler/Peers.h>

#include <string>

namespace Pooler {

/**
 * The rank of a member for aKey in weighted rendezvous hashing; lower ranks are
 * chosen first. Members with more processor time are chosen more often. All
 * nodes compute the same rank.
 */
double
RendezvousRank(const std::string& aKey, const Member& aMember);

} // namespace Pooler
