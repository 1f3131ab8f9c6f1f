#pragma once

#include <LibCore/Scheduler.h>
#include <LibPooler/Peers.h>

#include <map>
#include <memory>
#include <string>

namespace Pooler {

/**
 * Sends one group's record to a set of members, with retries, until each of
 * them has acknowledged it or is known to have ended. A record that begins a
 * change of primary revokes the members' authority this way, which is faster
 * than waiting for the authority to expire.
 */
class RecordBroadcast
{
public:
  /** aDone runs once all members have acknowledged the record or ended. */
  RecordBroadcast(Core::Scheduler& aScheduler,
                  PeerLink& aPeers,
                  std::vector<Member> aMembers,
                  Authority::GroupRecord aRecord,
                  std::function<void()> aDone);
  ~RecordBroadcast();
  RecordBroadcast(const RecordBroadcast&) = delete;
  RecordBroadcast& operator=(const RecordBroadcast&) = delete;

  void Start();
  /** The number of members that have not acknowledged the record yet. */
  std::size_t PendingCount() const { return pending_.size(); }

private:
  void Send(const std::string& aKey);
  void OnDelivery(const std::string& aKey, PeerDelivery aDelivery);
  void Finish();

  Core::Scheduler& scheduler_;
  PeerLink& peers_;
  Authority::GroupRecord record_;
  std::function<void()> done_;
  std::map<std::string, Member> pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
