#include <LibMembership/MemberTable.h>

#include <LibWire/FieldReader.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Membership {

namespace {

/** Bounds the message size, so that it does not grow with the fleet. */
constexpr std::size_t kMaxUpdatesPerMessage = 8;
/** Dead or stopped members are removed after this time, unless listed. */
constexpr Core::Duration kRetention = std::chrono::minutes(10);

} // namespace

boost::json::object
MemberUpdate::ToJson() const
{
  return { { "member", Membership::ToJson(member) },
           { "state", kMemberStateNames.NameOf(state) },
           { "incarnation", incarnation } };
}

std::optional<MemberUpdate>
MemberUpdate::FromJson(const boost::json::value& aValue,
                       Core::LastReason& aReason)
{
  if (!aValue.is_object())
    return aReason.Set("a member update must be an object");
  Core::Findings findings;
  Wire::FieldReader reader(aValue.get_object(), findings);
  const auto state = kMemberStateNames.ValueOf(reader.String("state"));
  const auto incarnation = static_cast<std::uint64_t>(
    reader.Integer("incarnation", 0, std::numeric_limits<std::int64_t>::max()));
  const boost::json::object* object = reader.Object("member");
  if (!state || object == nullptr || !findings.IsEmpty())
    return aReason.Set(
      "member update lacks a valid member, state or incarnation");
  const auto member = MemberFromJson(*object, aReason);
  if (!member)
    return std::nullopt;
  return MemberUpdate{ *member, *state, incarnation };
}

MemberTable::MemberTable(Member aSelf,
                         std::uint64_t aIncarnation,
                         const MemberTableSettings& aSettings,
                         Core::Random& aRandom)
  : self_(std::move(aSelf))
  , incarnation_(aIncarnation)
  , settings_(aSettings)
  , random_(aRandom)
{
}

void
MemberTable::SetSettings(const MemberTableSettings& aSettings)
{
  settings_ = aSettings;
}

void
MemberTable::SetListedMembers(const std::vector<Member>& aMembers,
                              Core::Instant aNow)
{
  ++revision_;
  for (auto& [name, entry] : entries_)
    entry.isListed = false;
  for (const Member& member : aMembers) {
    if (member.name == self_.name) {
      self_.state = member.state;
      continue;
    }
    const auto [found, isNew] = entries_.try_emplace(member.name);
    Entry& entry = found->second;
    entry.isListed = true;
    if (isNew)
      entry.changedAt = aNow;
    // A different address means another VM of the same name, from which no
    // update has been received yet.
    if (!isNew && entry.update.member.agent != member.agent)
      entry.update = {};
    entry.update.member = member;
  }
  // Removes dead members that the platform no longer lists.
  std::erase_if(entries_, [](const auto& aEntry) {
    return !aEntry.second.isListed &&
           aEntry.second.update.state == MemberState::Dead;
  });
}

std::optional<Member>
MemberTable::NextToPing(Core::Instant aNow)
{
  if (lastPingAt_ && aNow - *lastPingAt_ > settings_.pauseGap) {
    // Restarts the suspect timeouts: responses missed during a pause of this
    // process are no evidence of a failure.
    for (auto& [name, entry] : entries_) {
      if (entry.update.state == MemberState::Suspect)
        entry.changedAt = aNow;
    }
  }
  lastPingAt_ = aNow;
  Expire(aNow);
  for (std::size_t i = 0; i <= entries_.size(); ++i) {
    if (pingOrder_.empty()) {
      for (const auto& [name, entry] : entries_)
        pingOrder_.push_back(name);
      std::shuffle(pingOrder_.begin(), pingOrder_.end(), random_.Engine());
    }
    if (pingOrder_.empty())
      return std::nullopt;
    const std::string name = pingOrder_.front();
    pingOrder_.pop_front();
    // Dead members are pinged too, so that a healed network or a restarted
    // member is detected before the member itself makes contact.
    if (const auto found = entries_.find(name); found != entries_.end())
      return found->second.update.member;
  }
  return std::nullopt;
}

void
MemberTable::Expire(Core::Instant aNow)
{
  for (auto& [name, entry] : entries_) {
    if (entry.update.state == MemberState::Suspect &&
        aNow - entry.changedAt > settings_.suspect)
      SetState(entry, MemberState::Dead, aNow);
  }
  std::erase_if(entries_, [aNow](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    const bool isGone = entry.update.state == MemberState::Dead ||
                        entry.update.state == MemberState::Left;
    return isGone && !entry.isListed && aNow - entry.changedAt > kRetention;
  });
}

void
MemberTable::SetState(Entry& aEntry, MemberState aState, Core::Instant aNow)
{
  aEntry.update.state = aState;
  aEntry.changedAt = aNow;
  aEntry.timesSent = 0;
  ++revision_;
}

void
MemberTable::OnUnreachable(const std::string& aName, Core::Instant aNow)
{
  const auto found = entries_.find(aName);
  if (found != entries_.end() &&
      found->second.update.state == MemberState::Alive)
    SetState(found->second, MemberState::Suspect, aNow);
}

void
MemberTable::OnReachable(const std::string& aName, Core::Instant aNow)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end())
    return;
  Entry& entry = found->second;
  const bool wasSuspectOrDead = entry.update.state == MemberState::Suspect ||
                                entry.update.state == MemberState::Dead;
  if (wasSuspectOrDead)
    SetState(entry, MemberState::Alive, aNow);
}

bool
MemberTable::RefuteIfSelf(const MemberUpdate& aUpdate)
{
  if (aUpdate.member.name != self_.name)
    return false;
  const bool isFalseClaim =
    aUpdate.state != MemberState::Alive && aUpdate.incarnation >= incarnation_;
  if (isFalseClaim && !isLeaving_) {
    incarnation_ = aUpdate.incarnation + 1;
    selfTimesSent_ = 0;
  }
  return true;
}

bool
MemberTable::Take(const MemberUpdate& aUpdate, Core::Instant aNow)
{
  if (RefuteIfSelf(aUpdate))
    return false;
  const auto [found, isNew] = entries_.try_emplace(aUpdate.member.name);
  Entry& entry = found->second;
  const bool isNewer = isNew ||
                       aUpdate.incarnation > entry.update.incarnation ||
                       (aUpdate.incarnation == entry.update.incarnation &&
                        aUpdate.state > entry.update.state);
  if (!isNewer)
    return false;
  const bool isStateChanged = isNew || aUpdate.state != entry.update.state;
  // For listed members the platform's VM state takes precedence.
  const VmState listedState = entry.update.member.state;
  entry.update = aUpdate;
  if (entry.isListed)
    entry.update.member.state = listedState;
  SetState(entry, aUpdate.state, aNow);
  return isStateChanged;
}

MemberUpdate
MemberTable::OwnUpdate() const
{
  return { self_,
           isLeaving_ ? MemberState::Left : MemberState::Alive,
           incarnation_ };
}

int
MemberTable::SendLimit() const
{
  // Enough sends for an update to reach every member with high probability.
  return 3 + 3 * static_cast<int>(
                   std::log2(static_cast<double>(entries_.size() + 1)));
}

std::vector<MemberUpdate>
MemberTable::UpdatesToSend()
{
  std::vector<Entry*> pending;
  for (auto& [name, entry] : entries_) {
    if (entry.timesSent < SendLimit() && entry.update.incarnation > 0)
      pending.push_back(&entry);
  }
  std::sort(pending.begin(),
            pending.end(),
            [](const Entry* aLeft, const Entry* aRight) {
              return aLeft->timesSent < aRight->timesSent;
            });
  pending.resize(std::min(pending.size(), kMaxUpdatesPerMessage));
  std::vector<MemberUpdate> updates;
  for (Entry* entry : pending) {
    ++entry->timesSent;
    updates.push_back(entry->update);
  }
  return updates;
}

void
MemberTable::Leave()
{
  isLeaving_ = true;
  ++revision_;
  ++incarnation_;
}

std::vector<Member>
MemberTable::AvailableMembers() const
{
  std::vector<Member> members;
  if (!isLeaving_ && self_.state == VmState::Live)
    members.push_back(self_);
  for (const auto& [name, entry] : entries_) {
    const bool isUp = entry.update.state == MemberState::Alive ||
                      entry.update.state == MemberState::Suspect;
    if (isUp && entry.update.member.state == VmState::Live)
      members.push_back(entry.update.member);
  }
  return members;
}

std::vector<Member>
MemberTable::RandomAlivePeers(std::size_t aMaxCount)
{
  std::vector<Member> members;
  for (const auto& [name, entry] : entries_) {
    if (entry.update.state == MemberState::Alive)
      members.push_back(entry.update.member);
  }
  std::shuffle(members.begin(), members.end(), random_.Engine());
  if (members.size() > aMaxCount)
    members.resize(aMaxCount);
  return members;
}

std::vector<MemberUpdate>
MemberTable::All() const
{
  std::vector<MemberUpdate> all{ OwnUpdate() };
  for (const auto& [name, entry] : entries_)
    all.push_back(entry.update);
  return all;
}

} // namespace Membership
