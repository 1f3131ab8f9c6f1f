#pragma once

#include <LibCore/Scheduler.h>
#include <LibPooler/Peers.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pooler {

/** Learns which members have received a record that was given to an outbox. */
class RecordReceipts
{
public:
  virtual ~RecordReceipts() = default;
  /** The member has acknowledged the record, or its process has ended. */
  virtual void OnReceived(const std::string& aMemberKey) = 0;
};

/**
 * Sends groups' records to members, with retries. At most one message to each
 * member is in flight, and it carries all records that wait for that member.
 * The number of connections therefore grows neither with the number of groups
 * nor, beyond a limit, with the number of members.
 */
class RecordOutbox
{
public:
  RecordOutbox(Core::Scheduler& aScheduler, PeerLink& aPeers);
  ~RecordOutbox();
  RecordOutbox(const RecordOutbox&) = delete;
  RecordOutbox& operator=(const RecordOutbox&) = delete;

  /**
   * Sends aRecord to aMember until it is received, or until aReceipts is
   * destroyed.
   */
  void Add(const Member& aMember,
           std::shared_ptr<const Authority::GroupRecord> aRecord,
           std::weak_ptr<RecordReceipts> aReceipts);

  /** The number of messages without a response so far. */
  std::size_t InFlight() const { return inFlight_; }

  /** The limit of messages in flight, and of records in one message. */
  static constexpr std::size_t kMaxInFlight = 400;
  static constexpr std::size_t kMaxRecordsPerMessage = 100;

private:
  struct Item
  {
    std::shared_ptr<const Authority::GroupRecord> record;
    std::weak_ptr<RecordReceipts> receipts;
  };
  /** What waits for one member. */
  struct Queue
  {
    Member member;
    std::vector<Item> items;
    /** True while a message is in flight, queued, or about to be repeated. */
    bool isActive = false;
  };

  void Activate(const std::string& aKey);
  void SendReady();
  void Send(const std::string& aKey);
  void OnDelivery(const std::string& aKey,
                  const std::vector<Item>& aSent,
                  PeerDelivery aDelivery);

  Core::Scheduler& scheduler_;
  PeerLink& peers_;
  std::map<std::string, Queue> queues_;
  /** Keys of members to which a message may be sent next. */
  std::deque<std::string> ready_;
  std::size_t inFlight_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
