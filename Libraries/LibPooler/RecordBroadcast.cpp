#include <LibPooler/RecordBroadcast.h>

#include <set>
#include <utility>

namespace Pooler {

/** The members without an acknowledgement so far. */
class RecordBroadcast::Progress final : public RecordReceipts
{
public:
  Progress(const std::vector<Member>& aMembers, std::function<void()> aDone)
    : done_(std::move(aDone))
  {
    for (const Member& member : aMembers)
      pending_.insert(member.Key());
  }

  std::size_t PendingCount() const { return pending_.size(); }

  void FinishIfReceivedByAll() const
  {
    if (!pending_.empty())
      return;
    // The handler may destroy the broadcast, and with it this object.
    const std::function<void()> done = done_;
    done();
  }

private:
  void OnReceived(const std::string& aMemberKey) override
  {
    pending_.erase(aMemberKey);
    FinishIfReceivedByAll();
  }

  std::set<std::string> pending_;
  std::function<void()> done_;
};

RecordBroadcast::RecordBroadcast(RecordOutbox& aOutbox,
                                 std::vector<Member> aMembers,
                                 Authority::GroupRecord aRecord,
                                 std::function<void()> aDone)
  : outbox_(aOutbox)
  , members_(std::move(aMembers))
  , record_(std::make_shared<const Authority::GroupRecord>(std::move(aRecord)))
  , progress_(std::make_shared<Progress>(members_, std::move(aDone)))
{
}

RecordBroadcast::~RecordBroadcast() = default;

void
RecordBroadcast::Start()
{
  for (const Member& member : members_)
    outbox_.Add(member, record_, progress_);
  members_.clear();
  progress_->FinishIfReceivedByAll();
}

std::size_t
RecordBroadcast::PendingCount() const
{
  return progress_->PendingCount();
}

} // namespace Pooler
