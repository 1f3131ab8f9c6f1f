#pragma once

#include <LibMembership/FleetView.h>

#include <functional>
#include <optional>

namespace Platform {

/** The VM list with its version, which the platform only increases. */
struct VersionedVmList
{
  std::uint64_t version = 0;
  Membership::VmList list;
};

/** The platform's list of VMs. The list may lag behind the actual state. */
class VmDirectory
{
public:
  virtual ~VmDirectory() = default;
  /**
   * Requests the list. The callback receives it without entries if its version
   * is still aKnownVersion, or std::nullopt if the request failed.
   */
  virtual void List(
    std::uint64_t aKnownVersion,
    std::function<void(std::optional<VersionedVmList>)> aCallback) = 0;
};

} // namespace Platform
