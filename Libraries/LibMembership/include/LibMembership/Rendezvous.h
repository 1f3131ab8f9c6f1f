#pragma once

#include <LibMembership/FleetView.h>

#include <string>
#include <vector>

namespace Membership {

/**
 * The members in the order in which they are candidates for aKey (highest
 * random weight), those of aDataCentre first. Every node that knows the same
 * members gets the same order, and a member that goes moves only its own keys.
 */
std::vector<const Member*>
RankMembers(const std::vector<Member>& aMembers,
            const std::string& aKey,
            const std::string& aDataCentre = "");

} // namespace Membership
