#include <LibPooler/ConfigurationSources.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Pooler {

namespace {

/** The region, or the data centre if its region isn't known. */
const std::string&
RegionOf(const Member& aMember)
{
  return aMember.region.empty() ? aMember.dataCentre : aMember.region;
}

/** Large VMs first, as they serve the others; else in an arbitrary order. */
bool
IsBefore(const Member& aLeft, const Member& aRight)
{
  const auto rank = [](const Member& aMember) {
    return std::tuple(-aMember.processors, Core::StableHash(aMember.name));
  };
  return rank(aLeft) < rank(aRight);
}

/** By data centre: its members, those that read the store first. */
using DataCentres = std::map<std::string, std::vector<Member>>;

DataCentres
DataCentresOf(const std::vector<Member>& aMembers, const std::string& aRegion)
{
  DataCentres result;
  for (const Member& member : aMembers) {
    if (RegionOf(member) == aRegion)
      result[member.dataCentre].push_back(member);
  }
  for (auto& [name, members] : result)
    std::sort(members.begin(), members.end(), IsBefore);
  return result;
}

std::size_t
MembersOf(const DataCentres& aDataCentres)
{
  std::size_t count = 0;
  for (const auto& [name, members] : aDataCentres)
    count += members.size();
  return count;
}

/** aRegionSize is the number of members in all data centres of its region. */
std::size_t
ReadersOf(const std::vector<Member>& aDataCentre, std::size_t aRegionSize)
{
  if (aRegionSize <= ConfigurationSources::kSmallRegion)
    return aDataCentre.size();
  constexpr std::size_t kGroup = ConfigurationSources::kMembersPerReader;
  return (aDataCentre.size() + kGroup - 1) / kGroup;
}

} // namespace

ConfigurationSources::ConfigurationSources(std::string aSelf)
  : self_(std::move(aSelf))
{
}

void
ConfigurationSources::SetMembers(const std::vector<Member>& aMembers)
{
  const auto self = std::find_if(
    aMembers.begin(), aMembers.end(), [this](const Member& aMember) {
      return aMember.Key() == self_;
    });
  // An expelled node goes on as before until it has registered again.
  if (self == aMembers.end())
    return;
  readers_.clear();
  others_.clear();
  rank_ = 0;
  const std::uint64_t hash = Core::StableHash(self->name);
  std::vector<Member> followers;
  const DataCentres region = DataCentresOf(aMembers, RegionOf(*self));
  for (const auto& [name, members] : region) {
    const std::size_t readers = ReadersOf(members, MembersOf(region));
    for (std::size_t i = 0; i < members.size(); ++i) {
      const bool isSelf = members[i].Key() == self_;
      if (isSelf)
        isReader_ = i < readers;
      else if (i >= readers)
        followers.push_back(members[i]);
      else if (name == self->dataCentre)
        readers_.push_back(members[i]);
      else
        others_.push_back(members[i]);
    }
  }
  if (!readers_.empty())
    std::rotate(readers_.begin(),
                readers_.begin() +
                  static_cast<std::ptrdiff_t>(hash % readers_.size()),
                readers_.end());
  for (const Member& follower : followers)
    rank_ += Core::StableHash(follower.name) < hash ? 1 : 0;
  // The readers of this data centre are asked again as well.
  others_.insert(others_.end(), readers_.begin(), readers_.end());
  others_.insert(others_.end(), followers.begin(), followers.end());
  nextOther_ = others_.empty() ? 0 : hash % others_.size();
  std::erase_if(suspectedUntil_, [&aMembers](const auto& aEntry) {
    return std::none_of(
      aMembers.begin(), aMembers.end(), [&aEntry](const Member& aMember) {
        return aMember.Key() == aEntry.first;
      });
  });
}

bool
ConfigurationSources::IsReader() const
{
  return isReader_ || holdsDuty_;
}

void
ConfigurationSources::OnNewerKnown(Core::Instant aNow)
{
  if (newerSince_)
    return;
  newerSince_ = aNow;
  impatientAt_ =
    std::min(impatientAt_.value_or(aNow + kPatience), aNow + kPatience);
  receivingBytes_ = 0;
}

void
ConfigurationSources::OnReceived()
{
  newerSince_.reset();
  impatientAt_.reset();
}

void
ConfigurationSources::OnPeerFailed(const std::string& aMemberKey,
                                   Core::Instant aNow)
{
  suspectedUntil_[aMemberKey] = aNow + kSuspicion;
}

void
ConfigurationSources::OnPeerReceiving(std::size_t aBytes, Core::Instant aNow)
{
  if (!newerSince_ || aBytes <= receivingBytes_)
    return;
  receivingBytes_ = aBytes;
  impatientAt_ = std::min(aNow + kPatience, *newerSince_ + kLongestPatience);
}

bool
ConfigurationSources::IsSuspected(const Member& aMember,
                                  Core::Instant aNow) const
{
  const auto entry = suspectedUntil_.find(aMember.Key());
  return entry != suspectedUntil_.end() && aNow < entry->second;
}

std::optional<Member>
ConfigurationSources::NextOther(Core::Instant aNow)
{
  for (std::size_t tries = 0; tries < others_.size(); ++tries) {
    const Member& member = others_[nextOther_++ % others_.size()];
    if (!IsSuspected(member, aNow))
      return member;
  }
  return std::nullopt;
}

bool
ConfigurationSources::MayReadStore(Core::Instant aNow) const
{
  const auto doublings =
    std::min<Core::Duration::rep>((aNow - *impatientAt_) / kCohortDelay, 16);
  return rank_ < kFirstCohort << static_cast<unsigned>(doublings);
}

std::optional<Member>
ConfigurationSources::FirstReader(Core::Instant aNow) const
{
  const auto reader =
    std::find_if(readers_.begin(), readers_.end(), [&](const Member& aMember) {
      return !IsSuspected(aMember, aNow);
    });
  return reader == readers_.end() ? std::nullopt : std::optional(*reader);
}

std::optional<Member>
ConfigurationSources::ChooseOnceImpatient(Core::Instant aNow)
{
  if (!MayReadStore(aNow))
    return NextOther(aNow);
  return ChooseWithStoreFirst(aNow);
}

std::optional<Member>
ConfigurationSources::ChooseWithStoreFirst(Core::Instant aNow)
{
  // A node that can't reach the store takes turns between it and peers.
  wasPeerAsked_ = hasStoreFailed_ && !wasPeerAsked_;
  return wasPeerAsked_ ? NextOther(aNow) : std::nullopt;
}

std::optional<Member>
ConfigurationSources::ChooseUnnotified(Core::Instant aNow)
{
  if (rank_ < kUnnotifiedCohort)
    return ChooseWithStoreFirst(aNow);
  wasReaderAsked_ = !wasReaderAsked_;
  const auto reader = wasReaderAsked_ ? FirstReader(aNow) : std::nullopt;
  return reader ? reader : NextOther(aNow);
}

std::optional<Member>
ConfigurationSources::Choose(Core::Instant aNow)
{
  if (IsReader())
    return ChooseWithStoreFirst(aNow);
  if (!isNotified_)
    return ChooseUnnotified(aNow);
  auto reader = FirstReader(aNow);
  // Peers without their reader must not wait for each other.
  if (!reader)
    impatientAt_ =
      std::min(impatientAt_.value_or(aNow + kPeersFirst), aNow + kPeersFirst);
  else if (!newerSince_)
    impatientAt_.reset();
  if (impatientAt_ && aNow >= *impatientAt_)
    return ChooseOnceImpatient(aNow);
  return reader ? reader : NextOther(aNow);
}

} // namespace Pooler
