#include <LibFailover/Promotion.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Failover {

Promotion::Promotion(std::vector<std::string> aDatabases,
                     const PromotionOptions& aOptions)
  : databases_(std::move(aDatabases))
  , options_(aOptions)
  , awaitedResponses_(databases_.begin(), databases_.end())
  , highestTerm_(aOptions.term)
{
}

std::size_t
Promotion::RequiredVotes() const
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
                   const std::optional<ControlResponse>& aResponse)
{
  awaitedResponses_.erase(aDatabase);
  if (aResponse) {
    const Endpoint::DatabaseReport& report = aResponse->report;
    highestTerm_ = std::max(highestTerm_, report.promised);
    for (const auto& [name, identity] : report.identities)
      identities_[name] = identity;
    if (aResponse->isAccepted && !report.isJoining)
      promised_[aDatabase] = { report.identity, report.log };
    else if (!aResponse->isAccepted)
      reason_ = aDatabase + ": " + aResponse->reason;
  }
  if (isFinished_ || !chosen_.empty())
    return {};
  const bool hasRequiredVotes = Votes().size() >= RequiredVotes();
  if (awaitedResponses_.empty())
    return hasRequiredVotes ? Choose()
                            : Fail("not enough databases promised the term");
  // A minority must not decide while other databases may still respond.
  if (!hasRequiredVotes || options_.allowsMinority ||
      std::exchange(isGraceRunning_, true))
    return {};
  return { { PromotionStep::AwaitGracePeriod, "" } };
}

std::map<std::string, LogPosition>
Promotion::Votes() const
{
  std::map<std::string, LogPosition> votes;
  for (const auto& [name, vote] : promised_) {
    const auto known = identities_.find(name);
    // A vote given before the database lost its file is void: the database
    // that now has this name has no record of it. Model checking found this
    // case.
    if (known == identities_.end() || known->second == vote.identity)
      votes[name] = vote.log;
  }
  return votes;
}

std::vector<PromotionAction>
Promotion::OnGracePeriodOver()
{
  if (isFinished_ || !chosen_.empty())
    return {};
  isGraceRunning_ = false;
  // A late response may have voided a vote that was counted earlier.
  if (Votes().size() < RequiredVotes())
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
Promotion::OnPromote(const std::optional<ControlResponse>& aResponse)
{
  // Without a response the database may have become primary of this term, so
  // no other database may be promoted in it; the next attempt must use a
  // higher term.
  if (!aResponse)
    return Fail(chosen_ + " did not respond to the promotion request");
  if (!aResponse->isAccepted)
    return Fail(chosen_ + ": " + aResponse->reason);
  isFinished_ = true;
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
  isFinished_ = true;
  reason_ = reason_.empty() ? std::move(aReason)
                            : std::move(aReason) + " (" + reason_ + ')';
  return { { PromotionStep::Finish, "" } };
}

} // namespace Failover
