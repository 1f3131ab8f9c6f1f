#pragma once

#include "../Simulation/VirtualTime.h"

#include <LibPooler/Membership.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fakes {

using namespace std::chrono_literals;
using Authority::StoredRow;
using Authority::WriteOutcome;
using Authority::WriteResult;
using Pooler::Member;
using Pooler::PeerDelivery;

constexpr Core::Duration kLease = 9s;

inline Member
MakeMember(const std::string& aName, const std::string& aIncarnation = "1")
{
  Member member;
  member.name = aName;
  member.incarnation = aIncarnation;
  member.dataCentre = "dc";
  member.addresses = { { "127.0.0.1", 1 },
                       { "127.0.0.1", 2 },
                       { "127.0.0.1", 3 } };
  return member;
}

/** A member with a fake store and fake peers that tests control. */
class MembershipFixture
  : public Authority::CoordinationStore
  , public Pooler::PeerLink
{
public:
  MembershipFixture()
    : membership(time, *this, *this, MakeMember("me"), kLease, IgnoreLog())
  {
    timer = time.Every(50ms, [this] {
      if (holdsDuty)
        membership.MaintainMembers(7, {}, 11);
    });
  }
  ~MembershipFixture() override
  {
    timer.reset();
    time.Close();
  }

  static Pooler::LogSink IgnoreLog()
  {
    return [](std::string_view, const boost::json::object&) {};
  }
  void AdvanceBy(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  /** Applies a snapshot of all rows in the store. */
  void ApplyRows()
  {
    membership.BeginReload();
    for (const auto& [key, row] : rows)
      membership.Apply(row);
    membership.CheckSelf();
  }
  void AddMember(const Member& aMember)
  {
    StoredRow row = Pooler::MemberRoster::RowOf(aMember);
    row.version = ++version;
    rows[row.key] = row;
  }

  void Write(const StoredRow& aRow,
             std::function<void(WriteOutcome)> aDone) override
  {
    ++writes;
    if (lostWrites > 0) {
      --lostWrites;
      Lose(aRow, false, aDone);
      return;
    }
    Change(aRow, false, aDone);
  }
  /** The writer gets no response, whether the write is done or not. */
  void Lose(const StoredRow& aRow,
            bool aIsRemoval,
            const std::function<void(WriteOutcome)>& aDone)
  {
    if (lostWriteDelay)
      time.DeferFor(*lostWriteDelay, [this, aRow, aIsRemoval] {
        Change(aRow, aIsRemoval, [](const WriteOutcome&) {});
      });
    time.DeferFor(700ms, [aDone] { aDone({ WriteResult::Unknown, 0 }); });
  }
  void Remove(const StoredRow& aRow,
              std::function<void(WriteOutcome)> aDone) override
  {
    if (lostRemovals > 0) {
      --lostRemovals;
      Lose(aRow, true, aDone);
      return;
    }
    Change(aRow, true, aDone);
  }
  void Read(const std::string& aKey,
            std::function<void(std::optional<StoredRow>)> aDone) override
  {
    time.DeferFor(4ms, [this, aKey, aDone] {
      if (isStoreDown) {
        aDone(std::nullopt);
        return;
      }
      const auto row = rows.find(aKey);
      aDone(row == rows.end() ? StoredRow{ aKey, "", 0 } : row->second);
    });
  }
  void Change(const StoredRow& aRow,
              bool aIsRemoval,
              const std::function<void(WriteOutcome)>& aDone)
  {
    const auto known = rows.find(aRow.key);
    const std::uint64_t held = known == rows.end() ? 0 : known->second.version;
    WriteOutcome outcome{ WriteResult::Conflict, 0 };
    if (isStoreDown) {
      outcome.result = WriteResult::Refused;
    } else if (held == aRow.version) {
      outcome = { WriteResult::Applied, ++version };
      rows.erase(aRow.key);
      if (!aIsRemoval)
        rows[aRow.key] = { aRow.key, aRow.value, version };
    }
    time.DeferFor(4ms, [aDone, outcome] { aDone(outcome); });
  }

  void SendHeartbeat(
    const Member& aMember,
    const Pooler::Heartbeat& aHeartbeat,
    std::function<void(Pooler::HeartbeatResponse)> aDone) override
  {
    lastHeartbeat = aHeartbeat;
    ++heartbeats;
    Pooler::HeartbeatResponse response;
    response.delivery = deliveries[aMember.Key()];
    response.clock = Core::Instant(5s);
    if (response.delivery == PeerDelivery::Answered)
      response.reachedGroups = { "g" };
    time.DeferFor(2ms, [aDone, response] { aDone(response); });
  }
  void SendRecords(const Member& aMember,
                   const std::vector<Authority::GroupRecord>&,
                   std::function<void(PeerDelivery)> aDone) override
  {
    time.DeferFor(
      2ms, [this, key = aMember.Key(), aDone] { aDone(deliveries[key]); });
  }
  void FetchRecords(
    const Member&,
    const std::string&,
    std::function<void(std::vector<Pooler::RelayedRecord>)>) override
  {
  }
  void RequestShares(
    const Pooler::Member&,
    const Quota::ShareRequest&,
    std::function<void(std::optional<Quota::ShareResponse>)>) override
  {
  }

  Simulation::VirtualTime time;
  std::map<std::string, StoredRow> rows;
  std::uint64_t version = 0;
  bool isStoreDown = false;
  /** The number of next writes whose response is lost. */
  int lostWrites = 0;
  int lostRemovals = 0;
  /** When such a write or removal is done; none: never. */
  std::optional<Core::Duration> lostWriteDelay;
  int writes = 0;
  int heartbeats = 0;
  bool holdsDuty = true;
  std::map<std::string, PeerDelivery> deliveries;
  Pooler::Heartbeat lastHeartbeat;
  Pooler::Membership membership;
  Core::TimerHandle timer;
};

} // namespace Fakes
