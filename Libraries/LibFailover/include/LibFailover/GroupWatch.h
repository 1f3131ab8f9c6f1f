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

/** Why a group needs a new term. */
enum class Trouble
{
  None,
  /** A majority answers, and none of them leads the highest term. */
  NoPrimary,
  /** The primary does not answer this observer. */
  PrimarySilent,
  /** A database has promised a term that no primary leads. */
  DatabaseAhead,
  /** A database that lost its file has caught up and may be let in. */
  JoinerReady,
  /** The primary's VM is leaving. */
  PrimaryLeaving,
};

inline constexpr Core::EnumNames<Trouble, 6> kTroubleNames{ {
  { { Trouble::None, "none" },
    { Trouble::NoPrimary, "no_primary" },
    { Trouble::PrimarySilent, "primary_silent" },
    { Trouble::DatabaseAhead, "database_ahead" },
    { Trouble::JoinerReady, "joiner_ready" },
    { Trouble::PrimaryLeaving, "primary_leaving" } },
} };

struct WatchSettings
{
  /** The floor of the silence from which a database is suspected. */
  Core::Duration suspect = std::chrono::milliseconds(450);
  /** How often the primary is probed. */
  Core::Duration probe = std::chrono::milliseconds(100);
  /** This observer's place among the group's watchers; 0 acts first. */
  int rank = 0;
};

enum class WatchStep
{
  None,
  /** Ask other members whether WatchAction::primary answers them. */
  AskOpinions,
  /** Begin a promotion. */
  Promote,
};

struct WatchAction
{
  WatchStep step = WatchStep::None;
  Trouble trouble = Trouble::None;
  std::string primary;
  /** The least term that a promotion may use. */
  Term term = 0;
};

/** A database that should follow the present primary and does not. */
struct RepointOrder
{
  std::string database;
  std::string primary;
  Term term = 0;
  std::string owner;
};

/** What another member says of a suspected primary. */
struct Opinion
{
  std::string dataCentre;
  /** True when the primary does not answer that member either. */
  bool isSilent = false;
};

/**
 * One observer's judgement of one group: when to ask others, when to promote,
 * and which databases to point at the primary. It never decides alone that a
 * silent primary is lost.
 */
class GroupWatch
{
public:
  GroupWatch(std::vector<std::string> aDatabases,
             std::string aDataCentre,
             const WatchSettings& aSettings,
             Core::Instant aNow);

  void SetSettings(const WatchSettings& aSettings);
  void SetLeaving(std::set<std::string> aLeaving);

  /** A probe of aDatabase, sent at aRequestedAt, was answered at aNow. */
  void OnReport(const std::string& aDatabase,
                const DatabaseReport& aReport,
                Core::Instant aRequestedAt,
                Core::Instant aNow);

  /** To be called every few tens of milliseconds. */
  WatchAction Tick(Core::Instant aNow);

  /** The end of AskOpinions. aOthersExist: are there members to ask at all? */
  WatchAction OnOpinions(const std::vector<Opinion>& aOpinions,
                         bool aOthersExist,
                         Core::Instant aNow);

  /** A promotion of this observer has ended. */
  void OnPromotionEnded(bool aSucceeded, Core::Instant aNow);

  /** Followers to point at the primary; each is named at most now and then. */
  std::vector<RepointOrder> Repoint(Core::Instant aNow);

  std::optional<std::string> Primary() const;
  Term HighestTerm() const;
  /** This observer's own opinion of aDatabase. */
  bool IsSilent(const std::string& aDatabase, Core::Instant aNow) const;
  const DatabaseReport* LastReport(const std::string& aDatabase) const;

private:
  struct Watched
  {
    FailureDetector detector;
    std::optional<DatabaseReport> report;
    Core::Instant reportedAt;
    std::optional<Core::Instant> repointedAt;
  };

  void NoticePause(Core::Instant aNow);
  Trouble Diagnose(Core::Instant aNow) const;
  Trouble DiagnoseWithPrimary(const std::string& aPrimary,
                              Core::Instant aNow) const;
  bool IsJoinerReady(const DatabaseReport& aPrimary, Core::Instant aNow) const;
  bool IsDatabaseAhead(const DatabaseReport& aPrimary,
                       Core::Instant aNow) const;
  Core::Duration HoldFor(Trouble aTrouble) const;
  bool IsFresh(const Watched& aWatched, Core::Instant aNow) const;
  WatchAction Promote(Trouble aTrouble);

  std::string dataCentre_;
  WatchSettings settings_;
  std::map<std::string, Watched> watched_;
  std::set<std::string> leaving_;
  Core::Instant lastTick_;
  Trouble trouble_ = Trouble::None;
  Core::Instant troubleSince_;
  Core::Instant quietUntil_;
  bool isAsking_ = false;
  bool isPromoting_ = false;
};

} // namespace Failover
