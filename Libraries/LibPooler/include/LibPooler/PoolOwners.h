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

/** What one member may do with a group's connections. */
struct ConnectionShare
{
  /**
   * How many it may open to each database; 0: it uses those of the owners. The
   * shares of all members add up to what all may open together, unless that is
   * less than one for each sharer.
   */
  int connections = 0;
  /** Empty: every member opens its own. */
  std::vector<Member> owners{};
};

/**
 * The share of the member aKey. What doesn't divide evenly goes to other
 * members for another aTurn, so that it isn't the same ones for all groups.
 */
ConnectionShare
ShareOf(const std::string& aGroup,
        const std::vector<Member>& aPresent,
        const std::string& aKey,
        int aUsable,
        std::size_t aTurn);

} // namespace Pooler
