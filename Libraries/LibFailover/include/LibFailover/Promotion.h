#pragma once

#include <LibCore/EnumNames.h>
#include <LibEndpoint/EndpointLink.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Failover {

using Endpoint::ControlAnswer;
using Endpoint::LogPosition;
using Endpoint::Term;

/** What a promotion needs done; several at once are done side by side. */
enum class PromotionStep
{
  Fence,
  /** Call OnGraceOver after a moment, so that slower answers still count. */
  AwaitGrace,
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

/** How a promotion chooses among equals, and what it may do. */
struct PromotionOptions
{
  Term term = 0;
  /** Names this one attempt: never used twice, not even by a restart. */
  std::string owner;
  /** Chosen when it is as far as the furthest; may be empty. */
  std::string preferred;
  /** Not chosen unless nothing else is as far. */
  std::set<std::string> leaving;
  /** Databases that lost their files and are let in: name to identity. */
  std::map<std::string, std::string> admits;
  /** An operator's written exception: go ahead with fewer than a majority. */
  bool allowsMinority = false;
};

/**
 * One attempt to give a group a primary in a new term: fence a majority,
 * choose the furthest of them, promote it, point the others at it.
 *
 * The databases are the voters, so rivals, lost answers and a promoter that
 * stops half-way cost time and never an acknowledged write.
 */
class Promotion
{
public:
  Promotion(std::vector<std::string> aDatabases,
            const PromotionOptions& aOptions);

  std::vector<PromotionAction> Start();
  std::vector<PromotionAction> OnFence(
    const std::string& aDatabase,
    const std::optional<ControlAnswer>& aAnswer);
  std::vector<PromotionAction> OnGraceOver();
  std::vector<PromotionAction> OnPromote(
    const std::optional<ControlAnswer>& aAnswer);

  const PromotionOptions& Options() const { return options_; }
  bool HasSucceeded() const { return succeeded_; }
  const std::string& Chosen() const { return chosen_; }
  const std::string& Reason() const { return reason_; }
  /** The highest term that any answer has shown. */
  Term HighestTerm() const { return highestTerm_; }

private:
  std::size_t Needed() const;
  /** The votes that still stand, given what is known of lost files. */
  std::map<std::string, LogPosition> Votes() const;
  std::vector<PromotionAction> Choose();
  std::vector<PromotionAction> Fail(std::string aReason);

  std::vector<std::string> databases_;
  PromotionOptions options_;
  std::set<std::string> awaited_;
  struct Vote
  {
    std::string identity;
    LogPosition log;
  };
  /** What the databases that promised and may vote said of themselves. */
  std::map<std::string, Vote> promised_;
  /** The identities that have replaced others; see Votes. */
  std::map<std::string, std::string> identities_;
  bool isGraceRunning_ = false;
  bool succeeded_ = false;
  bool isOver_ = false;
  std::string chosen_;
  std::string reason_;
  Term highestTerm_ = 0;
};

} // namespace Failover
