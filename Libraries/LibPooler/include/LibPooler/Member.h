#pragma once

#include <LibWire/Address.h>

#include <cstdint>
#include <string>

namespace Pooler {

/** The addresses on which a process accepts connections of other members. */
struct MemberAddresses
{
  /** Serves heartbeats, record updates and record requests of peers. */
  Wire::Address peers;
  /** Relays connections of peers to databases. */
  Wire::Address relay;
  /** Lends this process's database connections to peers. */
  Wire::Address checkouts;
};

/** A process of the system, as described by its row in the store. */
struct Member
{
  std::string name;
  /** Distinguishes successive processes on the same VM. */
  std::string incarnation;
  std::string dataCentre;
  /** The region of its data centre; empty if it isn't known. */
  std::string region{};
  MemberAddresses addresses;
  /** Processor time available to it, in cores. */
  double processors = 1;
  /**
   * It no longer counts as a member, but its authority may not have expired
   * yet.
   */
  bool isExpelled = false;
  /** The version of its row in the store; 0 before the first write. */
  std::uint64_t version = 0;

  /** Identifies one process: the name and incarnation. */
  std::string Key() const { return name + '#' + incarnation; }
};

} // namespace Pooler
