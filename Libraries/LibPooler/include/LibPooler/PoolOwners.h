#pragma once

#include <LibPooler/Member.h>

#include <string>
#include <vector>

namespace Pooler {

/**
 * Returns the owners of a group's connections: the members that open
 * connections to its databases when there are too few connections for every
 * member. Empty if every member opens its own. aUsable is the number of
 * connections that all members together may open to one database.
 *
 * Weighted rendezvous hashing chooses the owners, so all members with the same
 * view of aPresent choose the same ones, and a change of one member changes as
 * few owners as possible. Owners are spread over the data centres. Members with
 * more processor time are chosen more often. The result is in the order in
 * which the owners were chosen.
 */
std::vector<Member>
OwnersOf(const std::string& aGroup,
         const std::vector<Member>& aPresent,
         int aUsable);

/** One member's share of the connections to a group's databases. */
struct ConnectionShare
{
  /**
   * The number of connections that the member may open to each database. 0 if
   * it checks out connections of the owners instead. The shares of all members
   * add up to aUsable, unless that is less than one for each member that opens
   * connections.
   */
  int connections = 0;
  /** The owners (see OwnersOf); empty if every member opens its own. */
  std::vector<Member> owners{};
};

/**
 * Returns the share of the member with the key aKey. aRotation selects the
 * members that get the remainder of an uneven division, so that these aren't
 * the same members for all groups.
 */
ConnectionShare
ShareOf(const std::string& aGroup,
        const std::vector<Member>& aPresent,
        const std::string& aKey,
        int aUsable,
        std::size_t aRotation);

} // namespace Pooler
