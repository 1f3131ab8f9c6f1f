#pragma once

#include <cstdint>

namespace Authority {

/**
 * Versions of the coordination store, ordered also across restorations.
 *
 * A store that is restored from an older copy loses its latest changes and
 * gives their versions out again. Its era rises with each restoration. The
 * store's client therefore puts the era into the upper bits of every version,
 * so that versions from after a restoration are higher than all earlier ones:
 * whatever compares versions, or needs a number that only rises, may rely on
 * that. The lower bits are the version as the store counts it.
 */
inline constexpr unsigned kStoreEraShift = 40;

inline constexpr std::uint64_t
MakeStoreVersion(std::uint64_t aEra, std::uint64_t aNumber)
{
  return (aEra << kStoreEraShift) | aNumber;
}

/** The number of the store's restorations when it gave the version. */
inline constexpr std::uint64_t
StoreEraOf(std::uint64_t aVersion)
{
  return aVersion >> kStoreEraShift;
}

/** The version as the store counts it; 0 means that a row does not exist. */
inline constexpr std::uint64_t
StoreNumberOf(std::uint64_t aVersion)
{
  return aVersion & ((std::uint64_t{ 1 } << kStoreEraShift) - 1);
}

} // namespace Authority
