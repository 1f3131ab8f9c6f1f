#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/Random.h>
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
 * Maintains the set of member processes. A process may hold authority only
 * while its row is in the store. The rows therefore list all processes whose
 * authority must be revoked before a primary is replaced.
 *
 * The holder of the failover duty sends heartbeats to all other members. It
 * expels a member that has not responded for a long time: the row is marked as
 * expelled, stays for as long as authority may last, and is then removed.
 */
class Membership
{
public:
  /** How often the holder of the failover duty contacts each member. */
  static constexpr Core::Duration kHeartbeatInterval =
    std::chrono::milliseconds(300);
  /** A member or holder without a message for this long counts as silent. */
  static constexpr Core::Duration kHeartbeatTimeout =
    std::chrono::milliseconds(700);

  Membership(Core::Scheduler& aScheduler,
             Authority::CoordinationStore& aStore,
             PeerLink& aPeers,
             Member aSelf,
             Core::Duration aAuthorityLease,
             LogSink aLog);
  ~Membership();

  /** Sets this process's own addresses; must be called before Register. */
  void SetAddresses(MemberAddresses aAddresses);

  /**
   * Writes this process's row, with retries until it succeeds; aDone runs once.
   */
  void Register(std::function<void()> aDone);

  /** Starts a snapshot of all members; Apply must follow for each row. */
  void BeginReload() { roster_.Clear(); }
  /** Returns false if the row can't be read; a known member stays as it is. */
  bool Apply(const Authority::StoredRow& aRow);
  /**
   * Checks this process's own row after rows have been applied, and registers
   * again if it was expelled or removed.
   */
  void CheckSelf();

  /**
   * True if the response to a store request sent at aRequestedAt may grant
   * authority, that is, if it was sent after the registration.
   */
  bool CoversRequest(Core::Instant aRequestedAt) const;

  /**
   * Sends the heartbeats that are due, expels silent members and removes
   * expelled ones. Called by the holder of the failover duty, several times in
   * each heartbeat interval, over which the heartbeats are spread.
   * aNewestRecord is the newest version among the groups' records, if it is
   * known for certain; aSeen is reported to the other members. aRecordsDigest
   * is that of all records, and is sent along with aNewestRecord.
   */
  void MaintainMembers(std::optional<std::uint64_t> aNewestRecord,
                       const SeenVersions& aSeen = {},
                       std::uint64_t aRecordsDigest = 0);
  /**
   * Sets what the next heartbeats state: the version of the configuration and
   * since when it is proven to be current; none if it isn't.
   */
  void SetProvenConfiguration(std::uint64_t aVersion,
                              std::optional<Core::Instant> aProvenAt);
  /** True while any other member responds to this one's heartbeats. */
  bool HasResponsiveMembers() const;
  /** The newest versions that any other member reported in a response. */
  SeenVersions SeenByOthers() const;
  /**
   * Discards the response times of other members, which are out of date when
   * a new lease period of the failover duty begins.
   */
  void ResetContacts();
  void OnHeartbeat(const Heartbeat& aHeartbeat);
  /** True while heartbeats of a holder of the failover duty arrive. */
  bool HasActiveHolder() const;

  /** Notifies the other members that this process releases the duty. */
  void AnnounceResignation();

  /** Removes this process's row when it stops. */
  void Leave(std::function<void()> aDone);

  const Member& Self() const { return self_; }
  const MemberRoster& Roster() const { return roster_; }
  /** All processes other than this one that may hold authority. */
  std::vector<Member> Others() const;
  /** Counts of what other members report about a group's primary. */
  struct PrimaryReports
  {
    int reaching = 0;
    int notReaching = 0;
    /** Members without a recent response, or expelled. */
    int unknown = 0;
    /** Members with a recent response that report it as overloaded. */
    int overloaded = 0;
  };
  PrimaryReports ReportsOn(const std::string& aGroup) const;

private:
  /** What all members report, counted at once for all groups. */
  struct ReportSummary
  {
    Core::Instant countedAt = Core::Instant::min();
    int known = 0;
    int unknown = 0;
    std::map<std::string, int> reaching{};
    std::map<std::string, int> overloaded{};
  };
  const ReportSummary& Summary() const;

  /** The holder's state about another member. */
  struct Contact
  {
    /**
     * When the member last responded. Also set at the first contact, so that a
     * new member isn't expelled at once, and when the member is expelled, so
     * that the write of its row isn't repeated on each call.
     */
    Core::Instant lastResponseAt;
    Core::Instant nextHeartbeatAt{};
    /** When the member was first seen as expelled; `min()` if it isn't. */
    Core::Instant expelledSince = Core::Instant::min();
    /** When it was first seen to be registered again after an expulsion. */
    Core::Instant returnedAt = Core::Instant::min();
    bool isRequestPending = false;
    /** The member's clock in its last response, sent back to it as the echo. */
    std::optional<Core::Instant> clock{};
    std::set<std::string> reachedGroups{};
    std::set<std::string> overloadedGroups{};
    SeenVersions seen{};
  };

  void WriteSelf();
  /** Finds out who has written the own row, after a conflict. */
  void ReadSelf();
  void OnRegistered(std::uint64_t aVersion);
  void RetryRegistration();
  /** aContent is sent in the heartbeat, if one is due. */
  void MaintainMember(const Member& aMember, const Heartbeat& aContent);
  void OnHeartbeatResponse(const std::string& aKey,
                           const HeartbeatResponse& aResponse);
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
  int failedRegistrations_ = 0;
  Core::Random random_;
  Core::Instant lastHeartbeatAt_ = Core::Instant::min();
  std::map<std::string, Contact> contacts_;
  mutable ReportSummary summary_;
  std::uint64_t configurationVersion_ = 0;
  std::optional<Core::Instant> configurationProvenAt_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
