#pragma once

#include <LibCore/EnumNames.h>
#include <LibEndpoint/DatabaseReport.h>
#include <LibFailover/FailureDetector.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Failover {

using Endpoint::DatabaseReport;
using Session::Term;

/** Reason for a promotion in a new term. */
enum class PromotionReason
{
  None,
  /** A majority responds, and no database is primary of the highest term. */
  NoPrimary,
  /** The primary does not respond to this node's probes. */
  PrimarySilent,
  /** A database has promised a higher term than the primary has promised. */
  DatabaseAhead,
  /**
   * A database that lost its file has caught up with the primary's term and
   * may regain its vote.
   */
  JoinerReady,
  /** The platform lists the primary's VM as leaving. */
  PrimaryLeaving,
};

inline constexpr Core::EnumNames<PromotionReason, 6> kPromotionReasonNames{ {
  { { PromotionReason::None, "none" },
    { PromotionReason::NoPrimary, "no_primary" },
    { PromotionReason::PrimarySilent, "primary_silent" },
    { PromotionReason::DatabaseAhead, "database_ahead" },
    { PromotionReason::JoinerReady, "joiner_ready" },
    { PromotionReason::PrimaryLeaving, "primary_leaving" } },
} };

struct MonitorSettings
{
  /** Minimum time without a response before a database is suspected. */
  Core::Duration suspect = std::chrono::milliseconds(450);
  /** Probe period of the primary. */
  Core::Duration probe = std::chrono::milliseconds(100);
  /** This node's rank among the group's monitors; rank 0 acts first. */
  int rank = 0;
};

enum class MonitorStep
{
  None,
  /** Ask other members whether MonitorAction::primary responds to them. */
  RequestOpinions,
  Promote,
};

struct MonitorAction
{
  MonitorStep step = MonitorStep::None;
  PromotionReason trouble = PromotionReason::None;
  std::string primary;
  /** Lowest term that the promotion may use. */
  Term term = 0;
};

/** A database to be pointed at the current primary. */
struct RepointOrder
{
  std::string database;
  std::string primary;
  Term term = 0;
  std::string owner;
};

/** Another member's result for a suspected primary. */
struct Opinion
{
  std::string dataCentre;
  /** True when the primary does not respond to that member either. */
  bool isSilent = false;
};

/**
 * Monitors one group from one node. Decides from probe reports when to request
 * the opinions of other members, when to start a promotion, and which
 * databases to point at the primary. When other members exist, a silent
 * primary is replaced only if more than half of the received opinions, at least
 * one of them from another data centre, confirm that it does not respond.
 */
class GroupMonitor
{
public:
  GroupMonitor(std::vector<std::string> aDatabases,
               std::string aDataCentre,
               const MonitorSettings& aSettings,
               Core::Instant aNow);

  void SetSettings(const MonitorSettings& aSettings);
  /** Sets the databases whose VMs the platform lists as leaving. */
  void SetLeaving(std::set<std::string> aLeaving);

  /** Records the report received at aNow for a probe sent at aRequestedAt. */
  void OnReport(const std::string& aDatabase,
                const DatabaseReport& aReport,
                Core::Instant aRequestedAt,
                Core::Instant aNow);

  /**
   * Returns the next action. Must be called every few tens of milliseconds;
   * a gap of more than 300 ms counts as a pause of this process.
   */
  MonitorAction Tick(Core::Instant aNow);

  /**
   * Completes MonitorStep::RequestOpinions. aOthersExist is false when the
   * platform lists no other member.
   */
  MonitorAction OnOpinions(const std::vector<Opinion>& aOpinions,
                           bool aOthersExist,
                           Core::Instant aNow);

  /** Completes MonitorStep::Promote. */
  void OnPromotionEnded(bool aSucceeded, Core::Instant aNow);

  /**
   * Returns the databases to point at the primary. After a database has been
   * returned, it is left out for a retry period.
   */
  std::vector<RepointOrder> Repoint(Core::Instant aNow);

  std::optional<std::string> Primary() const;
  Term HighestTerm() const;
  /**
   * True when this node suspects aDatabase. Also true for a database that is
   * not in the group.
   */
  bool IsSilent(const std::string& aDatabase, Core::Instant aNow) const;
  const DatabaseReport* LastReport(const std::string& aDatabase) const;

private:
  struct MonitoredDatabase
  {
    FailureDetector detector;
    std::optional<DatabaseReport> report;
    Core::Instant reportedAt;
    std::optional<Core::Instant> repointedAt;
  };

  void DetectPause(Core::Instant aNow);
  PromotionReason Diagnose(Core::Instant aNow) const;
  PromotionReason DiagnoseWithPrimary(const std::string& aPrimary,
                                      Core::Instant aNow) const;
  bool IsJoinerReady(const DatabaseReport& aPrimary, Core::Instant aNow) const;
  bool IsDatabaseAhead(const DatabaseReport& aPrimary,
                       Core::Instant aNow) const;
  Core::Duration DelayFor(PromotionReason aReason) const;
  bool IsFresh(const MonitoredDatabase& aDatabase, Core::Instant aNow) const;
  MonitorAction Promote(PromotionReason aReason);

  std::string dataCentre_;
  MonitorSettings settings_;
  std::map<std::string, MonitoredDatabase> watched_;
  std::set<std::string> leaving_;
  Core::Instant lastTick_;
  PromotionReason pendingReason_ = PromotionReason::None;
  Core::Instant pendingSince_;
  Core::Instant holdOffUntil_;
  bool isAwaitingOpinions_ = false;
  bool isPromoting_ = false;
};

} // namespace Failover
