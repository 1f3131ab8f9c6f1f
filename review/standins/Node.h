#pragma once

#include <LibWire/Address.h>

#include <string>

#include <sys/types.h>

namespace Review {

/** The addresses at which a node listens. */
struct NodeAddresses
{
  Wire::Address clients;
  Wire::Address readiness;
  Wire::Address metrics;
  Wire::Address peers;
  /** The port after that of peers. */
  Wire::Address checkouts;
  Wire::Address relay;
};

/** Picks addresses on loopback whose ports are free. */
NodeAddresses
PickNodeAddresses();

/** A mastichold-node that runs as a process of its own. */
class Node
{
public:
  /** aFolder takes the settings file and what the node writes. */
  Node(std::string aName,
       const std::string& aZone,
       const std::string& aProgram,
       const std::string& aFolder,
       NodeAddresses aAddresses,
       const Wire::Address& aStore,
       const Wire::Address& aPromotions);
  /** Ends the process. */
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const std::string& Name() const { return name_; }
  const NodeAddresses& Addresses() const { return addresses_; }
  /** True if the process has ended by itself. */
  bool HasEnded();

private:
  std::string name_;
  NodeAddresses addresses_;
  pid_t process_ = -1;
  bool hasEnded_ = false;
};

} // namespace Review
