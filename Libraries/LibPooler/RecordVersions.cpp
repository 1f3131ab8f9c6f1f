#include <LibPooler/RecordVersions.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <limits>

namespace Pooler {

namespace {

constexpr std::uint64_t kDigestMask = std::numeric_limits<std::int64_t>::max();

} // namespace

void
RecordVersions::Set(const std::string& aGroup, std::uint64_t aVersion)
{
  versions_[aGroup] = aVersion;
  newest_ = std::max(newest_, aVersion);
  std::string text;
  for (const auto& [group, version] : versions_)
    text += group + '\n' + std::to_string(version) + '\n';
  digest_ = Core::StableHash(text) & kDigestMask;
}

} // namespace Pooler
