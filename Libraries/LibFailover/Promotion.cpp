#include <LibFailover/Promotion.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Failover {

Promotion::Promotion(std::vector<std::string> aDatabases,
                     const PromotionOptions& aOptions)
  : databases_(std::move(aDatabases))
  , options_(aOptions)
  , awaited_(databases_.begin(), databases_.end())
  , highestTerm_(aOptions.term)
{
}

std::size_t
Promotion::Needed() const
{
  return options_.allowsMinority ? 1 : databases_.size() / 2 + 1;
}

std::vector<PromotionAction>
Promotion::Start()
{
  std::vector<PromotionAction> actions;
  for (const std::string& database : databases_)
    actions.push_back({ PromotionStep::Fence, database });
  return actions;
}

std::vector<PromotionAction>
Promotion::OnFence(const std::string& aDatabase,
                   const std::optional<ControlAnswer>& aAnswer)
{
  awaited_.erase(aDatabase);
  if (aAnswer) {
    const Endpoint::DatabaseReport& report = aAnswer->report;
    highestTerm_ = std::max(highestTerm_, report.promised);
    for (const auto& [name, identity] : report.identities)
      identities_[name] = identity;
    if (aAnswer->isAccepted && !report.isJoining)
      promised_[aDatabase] = { report.identity, report.log };
    else if (!aAnswer->isAccepted)
      reason_ = aDatabase + ": " + aAnswer->reason;
  }
  if (isOver_ || !chosen_.empty())
    return {};
  const bool isEnough = Votes().size() >= Needed();
  if (awaited_.empty())
    return isEnough ? Choose() : Fail("too few databases promised the term");
  // A minority must not be chosen from while others may still answer.
  if (!isEnough || options_.allowsMinority ||
      std::exchange(isGraceRunning_, true))
    return {};
  return { { PromotionStep::AwaitGrace, "" } };
}

std::map<std::string, LogPosition>
Promotion::Votes() const
{
  std::map<std::string, LogPosition> votes;
  for (const auto& [name, vote] : promised_) {
    const auto known = identities_.find(name);
    // A vote given before the file was lost binds nobody: the database that
    // goes by the name now does not remember it. (Found by model checking.)
    if (known == identities_.end() || known->second == vote.identity)
      votes[name] = vote.log;
  }
  return votes;
}

std::vector<PromotionAction>
Promotion::OnGraceOver()
{
  if (isOver_ || !chosen_.empty())
    return {};
  isGraceRunning_ = false;
  // A late answer may have voided a vote that was counted before.
  if (Votes().size() < Needed())
    return {};
  return Choose();
}

std::vector<PromotionAction>
Promotion::Choose()
{
  const auto rank = [this](const auto& aEntry) {
    return std::make_tuple(aEntry.second,
                           !options_.leaving.contains(aEntry.first),
                           aEntry.first == options_.preferred);
  };
  const auto votes = Votes();
  const auto best = std::max_element(
    votes.begin(), votes.end(), [&rank](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  chosen_ = best->first;
  return { { PromotionStep::Promote, chosen_ } };
}

std::vector<PromotionAction>
Promotion::OnPromote(const std::optional<ControlAnswer>& aAnswer)
{
  // Without an answer it may be primary of this term, so no other database
  // may be tried in it: the next attempt takes a higher term.
  if (!aAnswer)
    return Fail(chosen_ + " did not answer the promotion");
  if (!aAnswer->isAccepted)
    return Fail(chosen_ + ": " + aAnswer->reason);
  isOver_ = true;
  succeeded_ = true;
  std::vector<PromotionAction> actions;
  for (const std::string& database : databases_) {
    if (database != chosen_)
      actions.push_back({ PromotionStep::Follow, database });
  }
  actions.push_back({ PromotionStep::Finish, "" });
  return actions;
}

std::vector<PromotionAction>
Promotion::Fail(std::string aReason)
{
  isOver_ = true;
  reason_ = reason_.empty() ? std::move(aReason)
                            : std::move(aReason) + " (" + reason_ + ')';
  return { { PromotionStep::Finish, "" } };
}

} // namespace Failover
