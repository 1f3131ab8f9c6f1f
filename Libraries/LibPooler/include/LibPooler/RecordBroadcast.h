#pragma once

#include <LibPooler/RecordOutbox.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

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
  RecordBroadcast(RecordOutbox& aOutbox,
                  std::vector<Member> aMembers,
                  Authority::GroupRecord aRecord,
                  std::function<void()> aDone);
  ~RecordBroadcast();
  RecordBroadcast(const RecordBroadcast&) = delete;
  RecordBroadcast& operator=(const RecordBroadcast&) = delete;

  void Start();
  /** The number of members that have not acknowledged the record yet. */
  std::size_t PendingCount() const;

private:
  class Progress;

  RecordOutbox& outbox_;
  std::vector<Member> members_;
  std::shared_ptr<const Authority::GroupRecord> record_;
  /** Shared with the outbox only; its destruction stops the retries. */
  std::shared_ptr<Progress> progress_;
};

} // namespace Pooler
