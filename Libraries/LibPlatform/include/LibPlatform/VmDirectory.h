#pragma once

#include <LibMembership/FleetView.h>

#include <functional>
#include <optional>

namespace Platform {

/** A version of the list; the platform's number only rises. */
struct VersionedVmList
{
  std::uint64_t version = 0;
  Membership::VmList list;
};

/** The platform's list of VMs, which lags behind what is so. */
class VmDirectory
{
public:
  virtual ~VmDirectory() = default;
  /**
   * Gives the list, without its entries when it still is aKnownVersion;
   * nothing when the service can't be had.
   */
  virtual void List(
    std::uint64_t aKnownVersion,
    std::function<void(std::optional<VersionedVmList>)> aCallback) = 0;
};

} // namespace Platform
