#pragma once

#include <LibCore/EnumNames.h>
#include <LibEndpoint/EndpointLink.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Failover {

using Endpoint::ControlResponse;
using Endpoint::LogPosition;
using Endpoint::Term;

/** A step of a promotion; steps returned together run concurrently. */
enum class PromotionStep
{
  Fence,
  /**
   * Call OnGracePeriodOver after a grace period, in which late responses still
   * count.
   */
  AwaitGracePeriod,
  Promote,
  /** Point PromotionAction::database at the new primary. */
  Follow,
  Finish,
};

struct PromotionAction
{
  PromotionStep step = PromotionStep::Finish;
  std::string database;
};

/** Term, owner and candidate preferences of a promotion. */
struct PromotionOptions
{
  Term term = 0;
  /** Identifies this attempt; unique, also across restarts. */
  std::string owner;
  /** Chosen among candidates with equally recent logs; may be empty. */
  std::string preferred;
  /** Chosen only when no other candidate has an equally recent log. */
  std::set<std::string> leaving;
  /**
   * Databases that lost their files and are readmitted as voters: the new
   * identity of each, by name.
   */
  std::map<std::string, std::string> admits;
  /**
   * Promotes with fewer than a majority of votes. Acknowledged writes may be
   * lost; set only by an operator's explicit setting.
   */
  bool allowsMinority = false;
};

/**
 * One attempt to give a group a primary in a new term: fences a majority,
 * promotes the fenced database with the most recent log, and points the
 * others at it.
 *
 * The databases are the voters, so concurrent promoters, lost responses and a
 * promoter that stops midway delay the promotion but lose no acknowledged
 * write.
 */
class Promotion
{
public:
  Promotion(std::vector<std::string> aDatabases,
            const PromotionOptions& aOptions);

  std::vector<PromotionAction> Start();
  std::vector<PromotionAction> OnFence(
    const std::string& aDatabase,
    const std::optional<ControlResponse>& aResponse);
  std::vector<PromotionAction> OnGracePeriodOver();
  std::vector<PromotionAction> OnPromote(
    const std::optional<ControlResponse>& aResponse);

  const PromotionOptions& Options() const { return options_; }
  bool HasSucceeded() const { return succeeded_; }
  const std::string& Chosen() const { return chosen_; }
  const std::string& Reason() const { return reason_; }
  /** The highest term seen: the attempt's own or one in a response. */
  Term HighestTerm() const { return highestTerm_; }

private:
  std::size_t RequiredVotes() const;
  /**
   * Returns the valid votes by database, with the log position of each. Votes
   * of identities that have since been replaced are void.
   */
  std::map<std::string, LogPosition> Votes() const;
  std::vector<PromotionAction> Choose();
  std::vector<PromotionAction> Fail(std::string aReason);

  std::vector<std::string> databases_;
  PromotionOptions options_;
  std::set<std::string> awaitedResponses_;
  struct Vote
  {
    std::string identity;
    LogPosition log;
  };
  /** Votes of the databases that promised the term and are not joining. */
  std::map<std::string, Vote> promised_;
  /** Replacement identities of databases that lost their files. */
  std::map<std::string, std::string> identities_;
  bool isGraceRunning_ = false;
  bool succeeded_ = false;
  bool isFinished_ = false;
  std::string chosen_;
  std::string reason_;
  Term highestTerm_ = 0;
};

} // namespace Failover
