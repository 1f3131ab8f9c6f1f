#include <LibCore/Hash.h>

namespace Core {

std::uint64_t
StableHash(std::string_view aText)
{
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3U;
  }
  // The high bits of FNV-1a are poorly distributed for short names, so the
  // 64-bit finalizer of MurmurHash3 follows.
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdU;
  hash ^= hash >> 33U;
  hash *= 0xc4ceb9fe1a85ec53U;
  hash ^= hash >> 33U;
  return hash;
}

} // namespace Core
