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

/** Whether a VM is to be given work, as the platform's list shows it. */
enum class VmState
{
  Live,
  Leaving,
};

inline constexpr Core::EnumNames<VmState, 2> kVmStateNames{ {
  { { VmState::Live, "live" }, { VmState::Leaving, "leaving" } },
} };

/** An entry VM with its proxy and agent. */
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

/** A database, on an endpoint VM. */
struct Database
{
  std::string name;
  std::string group;
  std::string dataCentre;
  Wire::Address address;
  /** Statements that it runs at once. */
  std::int64_t slots = 1;
  /** Connections that it takes. */
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

/** A version of the fleet's configuration. */
struct Configuration
{
  std::uint64_t version = 0;
  std::string text;

  bool operator==(const Configuration&) const = default;
};

/** What a proxy needs to know of the fleet; its agent keeps it current. */
struct FleetView
{
  /** Counts changes at the agent that made it; see FleetView::agent. */
  std::uint64_t revision = 0;
  std::string agent;
  /** False when neither store nor peer has confirmed it lately. */
  bool isCurrent = false;
  Configuration configuration;
  /** Those that take part: alive, and not stopping. */
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
