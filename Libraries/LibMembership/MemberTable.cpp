#include <LibMembership/MemberTable.h>

#include <LibWire/FieldReader.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Membership {

namespace {

/** News in one message, so that its size does not grow with the fleet. */
constexpr std::size_t kMostNews = 8;
/** A member found dead is forgotten after this, unless it is listed. */
constexpr Core::Duration kForgetAfter = std::chrono::minutes(10);

} // namespace

boost::json::object
MemberNews::ToJson() const
{
  return { { "member", Membership::ToJson(member) },
           { "state", kMemberStateNames.NameOf(state) },
           { "incarnation", incarnation } };
}

std::optional<MemberNews>
MemberNews::FromJson(const boost::json::value& aValue,
                     Core::LastReason& aReason)
{
  if (!aValue.is_object())
    return aReason.Set("news must be an object");
  Core::Findings findings;
  Wire::FieldReader reader(aValue.get_object(), findings);
  const auto state = kMemberStateNames.ValueOf(reader.String("state"));
  const auto incarnation = static_cast<std::uint64_t>(
    reader.Integer("incarnation", 0, std::numeric_limits<std::int64_t>::max()));
  const boost::json::object* object = reader.Object("member");
  if (!state || object == nullptr || !findings.IsEmpty())
    return aReason.Set("news has no member, state or incarnation");
  const auto member = MemberFromJson(*object, aReason);
  if (!member)
    return std::nullopt;
  return MemberNews{ *member, *state, incarnation };
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
MemberTable::SetListed(const std::vector<Member>& aMembers, Core::Instant aNow)
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
    // Another address is another VM of the same name, not yet heard of.
    if (!isNew && entry.news.member.agent != member.agent)
      entry.news = {};
    entry.news.member = member;
  }
  // Whoever the list does not know and nobody has heard from is gone.
  std::erase_if(entries_, [](const auto& aEntry) {
    return !aEntry.second.isListed &&
           aEntry.second.news.state == MemberState::Dead;
  });
}

std::optional<Member>
MemberTable::NextToPing(Core::Instant aNow)
{
  if (lastTick_ && aNow - *lastTick_ > settings_.pauseGap) {
    // While this process was paused, silence was its own.
    for (auto& [name, entry] : entries_) {
      if (entry.news.state == MemberState::Suspect)
        entry.changedAt = aNow;
    }
  }
  lastTick_ = aNow;
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
    // The dead are pinged too, now and then: that is how a healed network or
    // a restarted member is found without waiting for its own word.
    if (const auto found = entries_.find(name); found != entries_.end())
      return found->second.news.member;
  }
  return std::nullopt;
}

void
MemberTable::Expire(Core::Instant aNow)
{
  for (auto& [name, entry] : entries_) {
    if (entry.news.state == MemberState::Suspect &&
        aNow - entry.changedAt > settings_.suspect)
      Change(entry, MemberState::Dead, aNow);
  }
  std::erase_if(entries_, [aNow](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    const bool isGone = entry.news.state == MemberState::Dead ||
                        entry.news.state == MemberState::Left;
    return isGone && !entry.isListed && aNow - entry.changedAt > kForgetAfter;
  });
}

void
MemberTable::Change(Entry& aEntry, MemberState aState, Core::Instant aNow)
{
  aEntry.news.state = aState;
  aEntry.changedAt = aNow;
  aEntry.told = 0;
  ++revision_;
}

void
MemberTable::OnSilent(const std::string& aName, Core::Instant aNow)
{
  const auto found = entries_.find(aName);
  if (found != entries_.end() && found->second.news.state == MemberState::Alive)
    Change(found->second, MemberState::Suspect, aNow);
}

void
MemberTable::OnHeard(const std::string& aName, Core::Instant aNow)
{
  const auto found = entries_.find(aName);
  if (found == entries_.end())
    return;
  Entry& entry = found->second;
  const bool wasDoubted = entry.news.state == MemberState::Suspect ||
                          entry.news.state == MemberState::Dead;
  if (wasDoubted)
    Change(entry, MemberState::Alive, aNow);
}

bool
MemberTable::DenyIfSelf(const MemberNews& aNews)
{
  if (aNews.member.name != self_.name)
    return false;
  const bool isWrong =
    aNews.state != MemberState::Alive && aNews.incarnation >= incarnation_;
  if (isWrong && !isLeaving_) {
    incarnation_ = aNews.incarnation + 1;
    selfTold_ = 0;
  }
  return true;
}

bool
MemberTable::Take(const MemberNews& aNews, Core::Instant aNow)
{
  if (DenyIfSelf(aNews))
    return false;
  const auto [found, isNew] = entries_.try_emplace(aNews.member.name);
  Entry& entry = found->second;
  const bool isLater = isNew || aNews.incarnation > entry.news.incarnation ||
                       (aNews.incarnation == entry.news.incarnation &&
                        aNews.state > entry.news.state);
  if (!isLater)
    return false;
  const bool isChange = isNew || aNews.state != entry.news.state;
  // The list may say of a member that it is leaving; news does not.
  const VmState listed = entry.news.member.state;
  entry.news = aNews;
  if (entry.isListed)
    entry.news.member.state = listed;
  Change(entry, aNews.state, aNow);
  return isChange;
}

MemberNews
MemberTable::OwnNews() const
{
  return { self_,
           isLeaving_ ? MemberState::Left : MemberState::Alive,
           incarnation_ };
}

int
MemberTable::TellLimit() const
{
  // Enough for news to reach everybody with high probability.
  return 3 + 3 * static_cast<int>(
                   std::log2(static_cast<double>(entries_.size() + 1)));
}

std::vector<MemberNews>
MemberTable::NewsToTell()
{
  std::vector<Entry*> fresh;
  for (auto& [name, entry] : entries_) {
    if (entry.told < TellLimit() && entry.news.incarnation > 0)
      fresh.push_back(&entry);
  }
  std::sort(
    fresh.begin(), fresh.end(), [](const Entry* aLeft, const Entry* aRight) {
      return aLeft->told < aRight->told;
    });
  fresh.resize(std::min(fresh.size(), kMostNews));
  std::vector<MemberNews> news;
  for (Entry* entry : fresh) {
    ++entry->told;
    news.push_back(entry->news);
  }
  return news;
}

void
MemberTable::Leave()
{
  isLeaving_ = true;
  ++revision_;
  ++incarnation_;
}

std::vector<Member>
MemberTable::Working() const
{
  std::vector<Member> members;
  if (!isLeaving_ && self_.state == VmState::Live)
    members.push_back(self_);
  for (const auto& [name, entry] : entries_) {
    const bool isUp = entry.news.state == MemberState::Alive ||
                      entry.news.state == MemberState::Suspect;
    if (isUp && entry.news.member.state == VmState::Live)
      members.push_back(entry.news.member);
  }
  return members;
}

std::vector<Member>
MemberTable::SomeOthers(std::size_t aMost)
{
  std::vector<Member> members;
  for (const auto& [name, entry] : entries_) {
    if (entry.news.state == MemberState::Alive)
      members.push_back(entry.news.member);
  }
  std::shuffle(members.begin(), members.end(), random_.Engine());
  if (members.size() > aMost)
    members.resize(aMost);
  return members;
}

std::vector<MemberNews>
MemberTable::All() const
{
  std::vector<MemberNews> all{ OwnNews() };
  for (const auto& [name, entry] : entries_)
    all.push_back(entry.news);
  return all;
}

} // namespace Membership
