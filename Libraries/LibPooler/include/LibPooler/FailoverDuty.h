#pragma once

#include <LibAuthority/DutyLease.h>
#include <LibAuthority/GroupSupervisor.h>
#include <LibPooler/ControlLinks.h>
#include <LibPooler/Membership.h>
#include <LibPooler/RecordBroadcast.h>

#include <map>
#include <memory>
#include <string>

namespace Pooler {

/** The platform's call that makes a database the primary of its group. */
class Promoter
{
public:
  virtual ~Promoter() = default;

  struct Call
  {
    std::string group;
    std::string database;
    std::string holder;
    std::uint64_t fencingToken = 0;
    Core::Duration timeout{ 0 };
  };
  /** aDone runs once, never from inside Promote. */
  virtual void Promote(const Call& aCall,
                       std::function<void(Authority::PromoteResult)> aDone) = 0;
};

/** This node's part in the failover duty. */
class FailoverDuty final : public Authority::SupervisorPort
{
public:
  struct Settings
  {
    Authority::DutyLeaseTiming lease;
    Authority::SupervisorTiming supervisor;
  };
  using RecordSink =
    std::function<void(const Authority::GroupRecord&, Core::Instant)>;

  /** aOnRecord hears of records that this node has written. */
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
  void SetRecord(const Authority::GroupRecord& aRecord);
  /** The rows up to aVersion have been applied. */
  void OnRowsApplied(std::uint64_t aVersion);
  /** The group's primary has answered a statement. */
  void NotePrimaryAlive(const std::string& aGroup,
                        const Authority::SampleHistory::Sample& aSample);
  /** How many members own a group's connections; 0: all have some. */
  void SetOwnerCount(const std::string& aGroup, std::size_t aCount)
  {
    ownerCounts_[aGroup] = aCount;
  }
  /** The groups whose primary can't keep up, as this node sees it. */
  void SetOverloaded(std::set<std::string> aGroups)
  {
    overloaded_ = std::move(aGroups);
  }

  /** Renews or takes the duty, and acts on it. */
  void Tick();
  /** What the others are told of the store's rows that were seen here. */
  void SetSeen(const SeenRows& aSeen) { seen_ = aSeen; }
  /** Gives the duty up for good, once no change is under way. */
  void Release();
  bool Holds() const { return HoldsDuty(Core::Duration::zero()); }

  /**
   * True when nobody else can begin a change and this node has seen all that
   * former holders of the duty have begun.
   */
  bool KnowsAllChanges() const;
  /** True while the holder can't go on before it has seen newer rows. */
  bool AwaitsRows() const;

private:
  /** The members who are told of a record that begins a change. */
  struct Revocation
  {
    std::uint64_t recordVersion = 0;
    std::function<void()> done;
    std::unique_ptr<RecordBroadcast> spread;
    Authority::GroupRecord record;
  };

  void ReleaseIfIdle();
  bool IsChangingPrimary() const;
  void WriteLease();
  void ReadLease();
  void StartRevocation(Revocation& aRevocation);
  Authority::GroupSupervisor& SupervisorOf(const std::string& aGroup);
  void ShareDatabases();

  bool HoldsDuty(Core::Duration aMargin) const override;
  bool IsLostToOthers(const std::string& aGroup,
                      Core::Duration aSilence) const override;
  bool HasEnded(const std::string& aId) const override;
  bool IsOverloaded(const std::string& aGroup) const override;
  void Probe(const std::string& aId,
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
  void WriteRecord(const Authority::GroupRecord& aRecord,
                   std::function<void(Authority::WriteOutcome)> aDone) override;
  void RevokeEverywhere(const Authority::GroupRecord& aRecord,
                        std::function<void()> aDone) override;
  void Log(std::string_view aWhat, boost::json::object aFacts) override;

  Core::Scheduler& scheduler_;
  Settings settings_;
  Authority::CoordinationStore& store_;
  Promoter& promoter_;
  PeerLink& peers_;
  Membership& membership_;
  RecordSink onRecord_;
  LogSink log_;
  ControlLinks control_;
  SeenRows seen_;
  std::set<std::string> overloaded_;
  std::map<std::string, std::size_t> ownerCounts_;
  Authority::DutyLease lease_;
  DatabaseList databases_;
  /** Where databases answer, and where primaries did that are not listed. */
  std::map<std::string, Wire::Address> lastAddresses_;
  /** The groups' primaries by their records. */
  std::map<std::string, std::string> primaries_;
  std::map<std::string, std::unique_ptr<Authority::GroupSupervisor>>
    supervisors_;
  std::map<std::string, Revocation> revocations_;
  std::map<std::string, std::unique_ptr<RecordBroadcast>> announcements_;
  std::uint64_t appliedVersion_ = 0;
  std::uint64_t newestRecord_ = 0;
  /** A stop gives the duty up by then at the latest. */
  std::optional<Core::Instant> releaseBy_;
  bool isReadingLease_ = false;
  bool wasHolding_ = false;
  Core::Instant nextRead_ = Core::Instant::min();
  Core::Instant nextTending_ = Core::Instant::min();
};

} // namespace Pooler
