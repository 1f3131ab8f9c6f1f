#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Pooler {

/** The versions of the groups' records that a node knows. */
class RecordVersions
{
public:
  void Set(const std::string& aGroup, std::uint64_t aVersion);

  /** The newest version; 0 without any record. */
  std::uint64_t Newest() const { return newest_; }
  /**
   * Two nodes with equal digests know the same records. At most 63 bits, so
   * that it fits a signed integer of a message.
   */
  std::uint64_t Digest() const { return digest_; }

private:
  std::map<std::string, std::uint64_t> versions_;
  std::uint64_t newest_ = 0;
  std::uint64_t digest_ = 0;
};

} // namespace Pooler
