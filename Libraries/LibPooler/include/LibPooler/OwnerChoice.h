#pragma once

#include <LibPooler/Peers.h>

#include <string>
#include <vector>

namespace Pooler {

/** An owner of connections, as a node sees it that wants to check one out. */
struct OwnerCandidate
{
  const Member* member = nullptr;
  /** It failed lately. */
  bool isSuspect = false;
  /** The node's checkouts there, requested or granted. */
  int inUse = 0;
};

/**
 * Returns the owner for a checkout without a customer: one in the same data
 * centre, with the fewest checkouts. Null without candidates.
 */
const Member*
ChooseNearbyOwner(const std::vector<OwnerCandidate>& aCandidates,
                  const std::string& aDataCentre);

/**
 * Returns the owner for a checkout of a customer. All nodes choose the same
 * one, so that the customer's connections to the group gather there; the second
 * choice if that one is suspect, or if this node has many more checkouts there.
 * Null without candidates.
 */
const Member*
ChooseOwnerForCustomer(const std::vector<OwnerCandidate>& aCandidates,
                       const std::string& aGroup,
                       const std::string& aCustomer);

} // namespace Pooler
