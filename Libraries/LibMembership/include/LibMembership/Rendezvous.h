#pragma once

#include <LibMembership/FleetView.h>

#include <string>
#include <vector>

namespace Membership {

/**
 * Returns the members ordered by rendezvous (highest random weight) hashing
 * for aKey, those of aDataCentre first. Every node with the same member list
 * gets the same order. Removing a member reassigns only the keys for which it
 * was first.
 */
std::vector<const Member*>
RankMembers(const std::vector<Member>& aMembers,
            const std::string& aKey,
            const std::string& aDataCentre = "");

} // namespace Membership
