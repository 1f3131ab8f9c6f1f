#pragma once

#include "../Simulation/VirtualTime.h"

#include <LibAuthority/GroupSupervisor.h>

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

namespace Fakes {

using namespace std::chrono_literals;

inline Authority::SupervisorTiming
Timing()
{
  Authority::SupervisorTiming timing;
  timing.authorityLease = { 7500ms, 1200ms };
  timing.clockMargin = 200ms;
  timing.probeInterval = 250ms;
  timing.probeTimeout = 500ms;
  timing.silenceLimit = 900ms;
  timing.choiceTimeout = 400ms;
  timing.promoteTimeout = 900ms;
  timing.promotionRetryInterval = 3000ms;
  timing.leavingTime = 7000ms;
  return timing;
}

struct FakeMember
{
  bool isReachable = true;
  bool isListed = true;
  std::int64_t startedAt = 1;
  Sql::DatabaseStatus status;
};

/** A group of three databases, and the node that runs its supervisor. */
class SupervisorFixture : public Authority::SupervisorPort
{
public:
  SupervisorFixture()
    : supervisor(time, *this, "g", Timing())
  {
    for (const std::string id : { "a", "b", "c" })
      members[id].status.term = 1;
    members["a"].status.isPrimary = true;
    for (auto& [id, member] : members)
      member.status.received = { 1, 100 };
    ListAll();
    timer = time.Every(50ms, [this] { supervisor.Tick(); });
  }
  ~SupervisorFixture() override
  {
    timer.reset();
    time.Close();
  }

  void ListAll()
  {
    std::vector<Authority::SupervisedDatabase> list;
    for (const auto& [id, member] : members) {
      const bool isLeaving = leaving.find(id) != std::string::npos;
      if (member.isListed)
        list.push_back({ id, "dc", isLeaving, member.startedAt });
    }
    supervisor.SetDatabases(list);
  }
  void AdvanceBy(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  /** The store comes back with the stored record, in its second era. */
  void RestoreStore()
  {
    stored->version = version = Authority::MakeStoreVersion(2, 3);
    supervisor.SetRecord(stored);
  }

  /** Runs until the supervisor has recorded the first primary. */
  void Begin()
  {
    AdvanceBy(500ms);
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->primary == "a");
  }

  bool HoldsDuty(Core::Duration) const override { return holdsDuty; }
  bool IsUnreachableByPeers(const std::string&, Core::Duration) const override
  {
    return !peersReachPrimary;
  }
  bool HasEnded(const std::string& aId) const override { return ended == aId; }
  bool IsOverloaded(const std::string&) const override { return isOverloaded; }
  void Probe(const std::string& aId,
             Core::Duration aTimeout,
             ProbeHandler aDone) override
  {
    const bool replies = members.contains(aId) && members[aId].isReachable;
    time.DeferFor(replies ? 2ms : aTimeout, [this, replies, aId, aDone] {
      Authority::ProbeOutcome outcome;
      if (replies)
        outcome.status = members[aId].status;
      aDone(outcome);
    });
  }
  void ProbeUnlisted(const std::string& aId,
                     Core::Duration aTimeout,
                     ProbeHandler aDone) override
  {
    Probe(aId, aTimeout, std::move(aDone));
  }
  void StepDown(const std::string& aId,
                Session::Term aTerm,
                Core::Duration aTimeout,
                ProbeHandler aDone) override
  {
    FakeMember& member = members[aId];
    if (member.isReachable && member.status.term < aTerm)
      member.status.isPrimary = false;
    Probe(aId, aTimeout, std::move(aDone));
  }
  void Promote(const std::string&,
               const std::string& aId,
               Core::Duration,
               std::function<void(Authority::PromoteResult)> aDone) override
  {
    promoted.push_back(aId);
    promotedAt = time.Now();
    time.DeferFor(2ms, [aDone] { aDone(Authority::PromoteResult::Accepted); });
    // The platform ignores the request if the database is already primary.
    if (members[aId].status.isPrimary)
      return;
    time.DeferFor(600ms, [this, aId] {
      if (!promotionsSucceed)
        return;
      members[aId].status.isPrimary = true;
      ++members[aId].status.term;
    });
  }
  std::uint64_t VersionOfMissingRow() const override { return 0; }
  std::optional<std::uint64_t> VersionOfUnreadableRow(
    const std::string&) const override
  {
    return unreadableVersion;
  }
  void WriteRecord(const Authority::GroupRecord& aRecord,
                   std::function<void(Authority::WriteOutcome)> aDone) override
  {
    if (!stored || stored->version == aRecord.version) {
      stored = aRecord;
      stored->version = ++version;
      if (aRecord.change && !changeBeganAt) {
        changeBeganAt = time.Now();
        onChange();
      }
      Reply(aDone, { Authority::WriteResult::Applied, version });
      return;
    }
    Reply(aDone, { Authority::WriteResult::Conflict, 0 });
  }
  void Reply(const std::function<void(Authority::WriteOutcome)>& aDone,
             Authority::WriteOutcome aOutcome)
  {
    time.DeferFor(4ms, [aDone, aOutcome] { aDone(aOutcome); });
  }
  void RevokeEverywhere(const Authority::GroupRecord&,
                        std::function<void()> aDone) override
  {
    if (allNodesReply)
      time.DeferFor(3ms, aDone);
  }
  void Log(std::string_view, boost::json::object) override {}

  Simulation::VirtualTime time;
  std::map<std::string, FakeMember> members;
  /** The letters are the ids of the databases that are about to leave. */
  std::string leaving;
  std::string ended;
  bool holdsDuty = true;
  bool peersReachPrimary = false;
  bool allNodesReply = true;
  bool isOverloaded = false;
  /** Called when the first change is written. */
  std::function<void()> onChange = [] {};
  bool promotionsSucceed = true;
  std::optional<Authority::GroupRecord> stored;
  std::optional<std::uint64_t> unreadableVersion;
  std::uint64_t version = 10;
  std::vector<std::string> promoted;
  Core::Instant promotedAt{};
  std::optional<Core::Instant> changeBeganAt;
  Authority::GroupSupervisor supervisor;
  Core::TimerHandle timer;
};

} // namespace Fakes
