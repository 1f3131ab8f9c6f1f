#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/Scheduler.h>
#include <LibPooler/Log.h>
#include <LibPooler/MemberRoster.h>
#include <LibPooler/Peers.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Pooler {

/**
 * Who takes part. A process may hold authority only while its row is in the
 * store, so that whoever replaces a primary knows whom to ask.
 *
 * The holder of the failover duty sends heartbeats to all others. It expels a
 * process that has been silent for long: the row stays, marked, for as long as
 * authority lasts, and is then removed.
 */
class Membership
{
public:
  /** Whoever isn't heard within this is silent; heartbeats come each 300 ms. */
  static constexpr Core::Duration kHolderSilence =
    std::chrono::milliseconds(700);

  Membership(Core::Scheduler& aScheduler,
             Authority::CoordinationStore& aStore,
             PeerLink& aPeers,
             Member aSelf,
             Core::Duration aAuthorityLease,
             LogSink aLog);
  ~Membership();

  /** Where others reach this process; to be called before it registers. */
  void SetAddresses(MemberAddresses aAddresses);

  /** Writes this process's row, as often as needed; aDone runs once. */
  void Register(std::function<void()> aDone);

  /** All members' rows; to be followed by Apply for each of them. */
  void BeginReload() { roster_.Clear(); }
  void Apply(const Authority::StoredRow& aRow);
  /** After rows have been applied: checks this process's own. */
  void CheckSelf();

  /** True if an answer to a question of aRequestedAt may give authority. */
  bool CoversRequest(Core::Instant aRequestedAt) const;

  /**
   * What the holder of the duty does from time to time. aNewestRecord is the
   * newest version among the groups' records, if it is known for certain;
   * aSeen is what the others are told of the store's rows.
   */
  void TendOthers(std::optional<std::uint64_t> aNewestRecord,
                  const SeenRows& aSeen = {});
  /** True while any other member answers this one's heartbeats. */
  bool HearsMembers() const;
  /** The newest rows that any other member has seen, by its last answer. */
  SeenRows SeenByOthers() const;
  /** Forgets how long others have been silent; for a new tenure. */
  void ForgetContacts() { contacts_.clear(); }
  void OnHeartbeat(const Heartbeat& aHeartbeat);
  /** True while some holder's heartbeats come in. */
  bool HearsHolder() const;

  /** Tells the others that this process gives the failover duty up. */
  void AnnounceResignation();

  /** Takes this process's row away, at its end. */
  void Leave(std::function<void()> aDone);

  const Member& Self() const { return self_; }
  const MemberRoster& Roster() const { return roster_; }
  /** Everybody who may hold authority, but for this process. */
  std::vector<Member> Others() const;
  /** What the members other than this one say of a group's primary. */
  struct Opinions
  {
    int reaching = 0;
    int notReaching = 0;
    /** They gave no answer lately. */
    int unknown = 0;
    /** They say that it can't keep up; of those that answered. */
    int overloaded = 0;
  };
  Opinions OpinionsOn(const std::string& aGroup) const;

private:
  /** What the holder knows of another member. */
  struct Contact
  {
    Core::Instant answeredAt;
    Core::Instant expelledSince = Core::Instant::min();
    bool isAsked = false;
    std::optional<Core::Instant> clock{};
    std::set<std::string> reachedGroups{};
    std::set<std::string> overloadedGroups{};
    SeenRows seen{};
  };

  void WriteSelf();
  void Tend(const Member& aMember,
            std::optional<std::uint64_t> aNewestRecord,
            const SeenRows& aSeen);
  void OnAnswer(const std::string& aKey, const HeartbeatResponse& aAnswer);
  void Expel(Member aMember, std::string_view aReason);
  void Remove(const Member& aMember);

  Core::Scheduler& scheduler_;
  Authority::CoordinationStore& store_;
  PeerLink& peers_;
  Member self_;
  Core::Duration authorityLease_;
  LogSink log_;
  MemberRoster roster_;
  std::function<void()> registered_;
  std::optional<Core::Instant> registeredAt_;
  bool isRegistering_ = false;
  bool isLeaving_ = false;
  Core::TimerHandle retry_;
  Core::Instant heardAt_ = Core::Instant::min();
  std::map<std::string, Contact> contacts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
