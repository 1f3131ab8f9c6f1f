#pragma once

#include <LibAuthority/DutyLease.h>
#include <LibAuthority/GroupSupervisor.h>
#include <LibPooler/ControlLinks.h>
#include <LibPooler/DutyCandidacy.h>
#include <LibPooler/ForgottenMembers.h>
#include <LibPooler/LastListings.h>
#include <LibPooler/Membership.h>
#include <LibPooler/QuotaDuty.h>
#include <LibPooler/RecordBroadcast.h>
#include <LibPooler/RecordVersions.h>

#include <map>
#include <memory>
#include <string>

namespace Pooler {

/** Calls the platform to make a database the primary of its group. */
class Promoter
{
public:
  virtual ~Promoter() = default;

  struct Call
  {
    std::string group;
    std::string database;
    /** The name of the member that holds the failover duty. */
    std::string holder;
    std::uint64_t fencingToken = 0;
    Core::Duration timeout{ 0 };
  };
  /** aDone runs once, never from inside Promote. */
  virtual void Promote(const Call& aCall,
                       std::function<void(Authority::PromoteResult)> aDone) = 0;
};

/**
 * Acquires and renews the lease of the failover duty. While this node holds the
 * duty, it sends heartbeats to the members and replaces failed primaries.
 */
class FailoverDuty final
  : public Authority::SupervisorPort
  , public QuotaDuty
{
public:
  struct Settings
  {
    Authority::DutyLeaseTiming lease;
    Authority::SupervisorTiming supervisor;
  };
  /** Receives a record and the time at which its write was requested. */
  using RecordSink =
    std::function<void(const Authority::GroupRecord&, Core::Instant)>;

  /** aOnRecord is called for each record that this node has written. */
  FailoverDuty(Core::Scheduler& aScheduler,
               Settings aSettings,
               Sql::DatabaseDialer& aDialer,
               Authority::CoordinationStore& aStore,
               Promoter& aPromoter,
               PeerLink& aPeers,
               Membership& aMembership,
               RecordSink aOnRecord,
               LogSink aLog);
  ~FailoverDuty() override;

  void SetDatabases(const DatabaseList& aDatabases);
  /**
   * Sets the groups that the configuration names. A database of another group
   * isn't supervised: its entry may come from another writer.
   */
  void SetGroups(GroupSettingsMap aGroups);
  void SetRecord(const Authority::GroupRecord& aRecord);
  /** Reports that a group's row holds something that can't be read. */
  void SetUnreadable(const std::string& aGroup, std::uint64_t aVersion)
  {
    unreadable_[aGroup] = aVersion;
  }
  /** Reports that a snapshot of that version is about to be applied. */
  void OnSnapshotBegins(std::uint64_t aVersion);
  /** Reports that all store rows up to aVersion have been applied. */
  void OnRowsApplied(std::uint64_t aVersion);
  /** Reports that the group's primary has responded to a statement. */
  void ReportPrimaryAlive(const std::string& aGroup,
                          const Authority::SampleHistory::Sample& aSample);
  /** Sets how many members own a group's connections; 0: all members do. */
  void SetOwnerCount(const std::string& aGroup, std::size_t aCount)
  {
    ownerCounts_[aGroup] = aCount;
  }
  /** Sets the groups whose primary is overloaded as observed by this node. */
  void SetOverloaded(std::set<std::string> aGroups)
  {
    overloaded_ = std::move(aGroups);
  }

  /** Renews or acquires the duty and does its periodic work. */
  void Tick();
  /** Sets the row versions seen by this node, sent with each heartbeat. */
  void SetSeen(const SeenVersions& aSeen) { seen_ = aSeen; }
  /**
   * Releases the duty for good, once no change of primary is in progress or
   * a time limit has passed.
   */
  void Release();
  bool Holds() const { return HoldsDuty(Core::Duration::zero()); }
  /** Increases from holder to holder; 0 while this node isn't the holder. */
  std::uint64_t Term() const override { return Holds() ? lease_.Token() : 0; }
  bool KnowsAllMembers() const override;
  /**
   * The number of groups without a primary whose choice waits for silent
   * databases; 0 while this node isn't the holder.
   */
  std::size_t WaitingChoices() const;
  /** The versions of all records that SetRecord was called with. */
  const RecordVersions& Records() const { return records_; }

  /**
   * True while no other node can begin a change of primary and this node has
   * seen all changes that earlier holders of the duty have begun.
   */
  bool KnowsAllChanges() const;
  /** True while the holder can't proceed until it has seen newer rows. */
  bool AwaitsRows() const;

private:
  /** Revokes all members' authority by a record that begins a change. */
  struct Revocation
  {
    Authority::GroupRecord record;
    std::function<void()> done;
    /** Null until the rows up to the record's version have been applied. */
    std::unique_ptr<RecordBroadcast> broadcast;
    /** Calls `done` once no unknown member can hold authority. */
    Core::TimerHandle timer;
  };

  /** The newest record of a group, on its way to the members. */
  struct Announcement
  {
    std::unique_ptr<RecordBroadcast> broadcast;
    /** Gives up on members that can't be reached. */
    Core::TimerHandle expiry;
  };

  void UpdateCandidacy();
  void Announce(const Authority::GroupRecord& aRecord);
  void ReleaseIfIdle();
  bool IsChangingPrimary() const;
  void WriteLease();
  void ReadLease();
  void StartRevocation(Revocation& aRevocation);
  /** All known members have confirmed that they gave up the primary. */
  void OnConfirmed(const std::string& aGroup);
  Authority::GroupSupervisor& SupervisorOf(const std::string& aGroup);
  void UpdateSupervisors();

  bool HoldsDuty(Core::Duration aMargin) const override;
  bool IsUnreachableByPeers(const std::string& aGroup,
                            Core::Duration aSilence) const override;
  bool HasEnded(const std::string& aId) const override
  {
    return lastListings_.HasEnded(aId, [this](const std::string& aGroup) {
      return supervisors_.contains(aGroup);
    });
  }
  bool IsOverloaded(const std::string& aGroup) const override;
  void Probe(const std::string& aId,
             Core::Duration aTimeout,
             ProbeHandler aDone) override;
  void ProbeUnlisted(const std::string& aId,
                     Core::Duration aTimeout,
                     ProbeHandler aDone) override;
  void StepDown(const std::string& aId,
                Session::Term aTerm,
                Core::Duration aTimeout,
                ProbeHandler aDone) override;
  void Promote(const std::string& aGroup,
               const std::string& aId,
               Core::Duration aTimeout,
               std::function<void(Authority::PromoteResult)> aDone) override;
  std::uint64_t VersionOfMissingRow() const override
  {
    return Authority::MakeStoreVersion(Authority::StoreEraOf(appliedVersion_),
                                       0);
  }
  std::optional<std::uint64_t> VersionOfUnreadableRow(
    const std::string& aGroup) const override;
  void WriteRecord(const Authority::GroupRecord& aRecord,
                   std::function<void(Authority::WriteOutcome)> aDone) override;
  void RevokeEverywhere(const Authority::GroupRecord& aRecord,
                        std::function<void()> aDone) override;
  void Log(std::string_view aEvent, boost::json::object aFields) override;

  Core::Scheduler& scheduler_;
  Settings settings_;
  Authority::CoordinationStore& store_;
  Promoter& promoter_;
  Membership& membership_;
  RecordSink onRecord_;
  LogSink log_;
  ControlLinks control_;
  SeenVersions seen_;
  std::set<std::string> overloaded_;
  std::map<std::string, std::size_t> ownerCounts_;
  Authority::DutyLease lease_;
  DutyCandidacy candidacy_;
  ForgottenMembers forgotten_;
  DatabaseList databases_;
  /** The groups that the configuration names. */
  GroupSettingsMap groups_;
  LastListings lastListings_;
  /** Each group's primary according to its record. */
  std::map<std::string, std::string> primaries_;
  std::map<std::string, std::unique_ptr<Authority::GroupSupervisor>>
    supervisors_;
  /** Outlives the broadcasts below, which send through it. */
  RecordOutbox outbox_;
  std::map<std::string, Revocation> revocations_;
  /** By group: sends the members a written record with no change in progress.
   */
  std::map<std::string, Announcement> announcements_;
  /** By group: the version of a row that can't be read. */
  std::map<std::string, std::uint64_t> unreadable_;
  std::uint64_t appliedVersion_ = 0;
  RecordVersions records_;
  /** When this node stops, it releases the duty by then at the latest. */
  std::optional<Core::Instant> releaseDeadline_;
  bool isReadingLease_ = false;
  bool heldDuty_ = false;
  Core::Instant nextLeaseReadAt_ = Core::Instant::min();
};

} // namespace Pooler
