#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/LastReason.h>
#include <LibWire/Address.h>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/** State of a VM in the platform's list; only Live VMs are given work. */
enum class VmState
{
  Live,
  Leaving,
};

inline constexpr Core::EnumNames<VmState, 2> kVmStateNames{ {
  { { VmState::Live, "live" }, { VmState::Leaving, "leaving" } },
} };

/** An entry VM that runs a proxy and an agent, with their addresses. */
struct Member
{
  std::string name;
  std::string dataCentre;
  Wire::Address callers;
  Wire::Address peers;
  Wire::Address operators;
  Wire::Address agent;
  VmState state = VmState::Live;

  bool operator==(const Member&) const = default;
};

/** A database on an endpoint VM. */
struct Database
{
  std::string name;
  std::string group;
  std::string dataCentre;
  Wire::Address address;
  /** Maximum number of concurrent statements. */
  std::int64_t slots = 1;
  /** Maximum number of connections. */
  std::int64_t connections = 1;
  VmState state = VmState::Live;

  bool operator==(const Database&) const = default;
};

/** The platform's list of VMs. */
struct VmList
{
  std::vector<Member> members;
  std::vector<Database> databases;

  bool operator==(const VmList&) const = default;
  static std::optional<VmList> FromJson(const boost::json::value& aValue,
                                        Core::LastReason& aReason);
  boost::json::object ToJson() const;
};

/** One version of the fleet's configuration. */
struct Configuration
{
  std::uint64_t version = 0;
  std::string text;

  bool operator==(const Configuration&) const = default;
};

/** A proxy's view of the fleet, provided by its agent. */
struct FleetView
{
  /**
   * Change counter of the agent that created the view; comparable only
   * between views of the same agent.
   */
  std::uint64_t revision = 0;
  std::string agent;
  /** False when neither store nor peers have confirmed it recently. */
  bool isCurrent = false;
  Configuration configuration;
  /** Members in service: not dead, not stopping and not leaving. */
  std::vector<Member> members;
  std::vector<Database> databases;

  static std::optional<FleetView> FromJson(const boost::json::value& aValue,
                                           Core::LastReason& aReason);
  boost::json::object ToJson() const;

  const Member* FindMember(const std::string& aName) const;
  std::vector<const Database*> DatabasesOf(const std::string& aGroup) const;
  std::vector<std::string> Groups() const;
};

boost::json::object
ToJson(const Member& aMember);
std::optional<Member>
MemberFromJson(const boost::json::value& aValue, Core::LastReason& aReason);

} // namespace Membership
