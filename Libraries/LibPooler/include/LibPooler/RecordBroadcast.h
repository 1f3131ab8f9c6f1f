#pragma once

#include <LibCore/Scheduler.h>
#include <LibPooler/Peers.h>

#include <map>
#include <memory>
#include <string>

namespace Pooler {

/**
 * Tells a set of members of one group's record until each of them acts by it,
 * or is known to have ended. With a record that begins a change this takes
 * everybody's authority away, quicker than waiting for it to end.
 */
class RecordBroadcast
{
public:
  /** aDone runs once all have answered or ended. */
  RecordBroadcast(Core::Scheduler& aScheduler,
                  PeerLink& aPeers,
                  std::vector<Member> aMembers,
                  Authority::GroupRecord aRecord,
                  std::function<void()> aDone);
  ~RecordBroadcast();
  RecordBroadcast(const RecordBroadcast&) = delete;
  RecordBroadcast& operator=(const RecordBroadcast&) = delete;

  void Start();
  /** Who hasn't answered yet. */
  std::size_t Missing() const { return missing_.size(); }

private:
  void Send(const std::string& aKey);
  void OnDelivery(const std::string& aKey, PeerDelivery aDelivery);
  void Finish();

  Core::Scheduler& scheduler_;
  PeerLink& peers_;
  Authority::GroupRecord record_;
  std::function<void()> done_;
  std::map<std::string, Member> missing_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
