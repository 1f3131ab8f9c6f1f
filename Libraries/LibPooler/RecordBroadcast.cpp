#include <LibPooler/RecordBroadcast.h>

#include <utility>

namespace Pooler {

namespace {

/** The delay before the record is sent again to a silent member. */
constexpr Core::Duration kRepeatDelay = std::chrono::milliseconds(150);

} // namespace

RecordBroadcast::RecordBroadcast(Core::Scheduler& aScheduler,
                                 PeerLink& aPeers,
                                 std::vector<Member> aMembers,
                                 Authority::GroupRecord aRecord,
                                 std::function<void()> aDone)
  : scheduler_(aScheduler)
  , peers_(aPeers)
  , record_(std::move(aRecord))
  , done_(std::move(aDone))
{
  for (Member& member : aMembers)
    pending_.emplace(member.Key(), std::move(member));
}

RecordBroadcast::~RecordBroadcast()
{
  *alive_ = false;
}

void
RecordBroadcast::Start()
{
  if (pending_.empty()) {
    Finish();
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, member] : pending_)
    keys.push_back(key);
  for (const std::string& key : keys)
    Send(key);
}

void
RecordBroadcast::Send(const std::string& aKey)
{
  peers_.SendRecord(pending_.at(aKey),
                    record_,
                    [this, alive = alive_, aKey](PeerDelivery aDelivery) {
                      if (*alive)
                        OnDelivery(aKey, aDelivery);
                    });
}

void
RecordBroadcast::OnDelivery(const std::string& aKey, PeerDelivery aDelivery)
{
  if (aDelivery == PeerDelivery::Silent) {
    scheduler_.DeferFor(kRepeatDelay, [this, alive = alive_, aKey] {
      if (*alive)
        Send(aKey);
    });
    return;
  }
  pending_.erase(aKey);
  if (pending_.empty())
    Finish();
}

void
RecordBroadcast::Finish()
{
  // The handler may destroy this broadcast.
  const std::function<void()> done = done_;
  done();
}

} // namespace Pooler
