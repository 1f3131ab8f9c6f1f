#pragma once

#include <LibPooler/Peers.h>

#include <string>
#include <vector>

namespace Pooler {

/**
 * The members that open connections to a group's databases, when there are too
 * few connections for every member to have some; empty when every member opens
 * its own. aUsable is what all members together may open to one database.
 *
 * All members with the same view choose the same owners. They are spread over
 * the data centres, members with more processor time are chosen more often, and
 * a change of one member changes as few owners as possible (weighted rendezvous
 * hashing). The order is that of the choice.
 */
std::vector<Member>
OwnersOf(const std::string& aGroup,
         const std::vector<Member>& aPresent,
         int aUsable);

} // namespace Pooler
