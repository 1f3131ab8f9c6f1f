#include <LibPooler/RecordOutbox.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** The delay before records are sent again to a silent member. */
constexpr Core::Duration kRepeatDelay = std::chrono::milliseconds(150);

} // namespace

RecordOutbox::RecordOutbox(Core::Scheduler& aScheduler, PeerLink& aPeers)
  : scheduler_(aScheduler)
  , peers_(aPeers)
{
}

RecordOutbox::~RecordOutbox()
{
  *alive_ = false;
}

void
RecordOutbox::Add(const Member& aMember,
                  std::shared_ptr<const Authority::GroupRecord> aRecord,
                  std::weak_ptr<RecordReceipts> aReceipts)
{
  const std::string key = aMember.Key();
  Queue& queue = queues_[key];
  queue.member = aMember;
  queue.items.push_back({ std::move(aRecord), std::move(aReceipts) });
  if (!queue.isActive)
    Activate(key);
}

void
RecordOutbox::Activate(const std::string& aKey)
{
  queues_.at(aKey).isActive = true;
  ready_.push_back(aKey);
  SendReady();
}

void
RecordOutbox::SendReady()
{
  while (!ready_.empty() && inFlight_ < kMaxInFlight) {
    const std::string key = std::move(ready_.front());
    ready_.pop_front();
    Send(key);
  }
}

void
RecordOutbox::Send(const std::string& aKey)
{
  Queue& queue = queues_.at(aKey);
  std::erase_if(queue.items,
                [](const Item& aItem) { return aItem.receipts.expired(); });
  if (queue.items.empty()) {
    queues_.erase(aKey);
    return;
  }
  const std::size_t count = std::min(queue.items.size(), kMaxRecordsPerMessage);
  const std::vector<Item> sent(queue.items.begin(),
                               queue.items.begin() +
                                 static_cast<std::ptrdiff_t>(count));
  std::vector<Authority::GroupRecord> records;
  records.reserve(count);
  for (const Item& item : sent)
    records.push_back(*item.record);
  ++inFlight_;
  peers_.SendRecords(
    queue.member,
    records,
    [this, alive = alive_, aKey, sent](PeerDelivery aDelivery) {
      if (*alive)
        OnDelivery(aKey, sent, aDelivery);
    });
}

void
RecordOutbox::OnDelivery(const std::string& aKey,
                         const std::vector<Item>& aSent,
                         PeerDelivery aDelivery)
{
  --inFlight_;
  if (aDelivery == PeerDelivery::Silent) {
    scheduler_.DeferFor(kRepeatDelay, [this, alive = alive_, aKey] {
      if (*alive)
        Activate(aKey);
    });
    SendReady();
    return;
  }
  Queue& queue = queues_.at(aKey);
  // Items are only added at the end, and removed here or before a message.
  queue.items.erase(queue.items.begin(),
                    queue.items.begin() +
                      static_cast<std::ptrdiff_t>(aSent.size()));
  if (queue.items.empty()) {
    queues_.erase(aKey);
    SendReady();
  } else {
    Activate(aKey);
  }
  // Last, since a handler may destroy this outbox.
  for (const Item& item : aSent) {
    if (const auto receipts = item.receipts.lock())
      receipts->OnReceived(aKey);
  }
}

} // namespace Pooler
