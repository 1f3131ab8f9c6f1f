#include <LibQuota/QuotaBook.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace Quota {

namespace {

/** Exceeds the difference of two clocks over a lease. */
constexpr Core::Duration kClockMargin = std::chrono::milliseconds(100);

/** A node's rate exceeds its recent demand by this factor. */
constexpr double kHeadroom = 1.3;
/** The part of a quota's rate, at most, that is shared out to nodes. */
constexpr double kSharedRate = 0.9;
/** The part of the depth, at most, that is shared out to nodes. */
constexpr double kSharedDepth = 0.5;
/** A node's depth covers one operation and its rate for this long. */
constexpr double kDepthSeconds = 0.5;
/** Customers with a smaller quota (operations a second) get tokens only. */
constexpr double kMinRateQuota = 100;
/** Another node may apply a new configuration later than this node by this. */
constexpr Core::Duration kConfigurationDelay = std::chrono::seconds(10);
/** A node with less demand (operations a second) gets no rate. */
constexpr double kSteadyDemand = 1.5;
/** A node's report counts in the total demand for this long. */
constexpr Core::Duration kDemandMemory = std::chrono::seconds(3);
/** The part of the reserve that a node may get without a waiting operation. */
constexpr double kPrefill = 0.1;

bool
HasRates(const Allotment& aAllotment)
{
  return aAllotment.rate >= kMinRateQuota;
}

double
RoundDown(double aValue)
{
  const double units = std::floor(aValue * kUnitsPerOperation);
  return std::max(0.0, units) / kUnitsPerOperation;
}

} // namespace

void
QuotaBook::SetAllotments(std::map<std::string, Allotment> aAllotments,
                         Core::Instant aNow)
{
  for (const auto& [customer, allotment] : allotments_) {
    if (HasRates(allotment))
      ratesUntil_[customer] = aNow + kConfigurationDelay;
  }
  allotments_ = std::move(aAllotments);
}

void
QuotaBook::SetTerm(std::uint64_t aTerm, Core::Instant aNow)
{
  if (aTerm == term_)
    return;
  term_ = aTerm;
  accounts_.clear();
  counters_.clear();
  termBeganAt_ = aNow;
}

Core::Instant
QuotaBook::CompleteAt(const std::string& aCustomer) const
{
  const auto ratesUntil = ratesUntil_.find(aCustomer);
  const bool mayHaveRates =
    HasRates(allotments_.at(aCustomer)) ||
    (ratesUntil != ratesUntil_.end() && termBeganAt_ < ratesUntil->second);
  return termBeganAt_ + kClockMargin +
         (mayHaveRates ? kShareLease : kTokenLease);
}

QuotaBook::Account&
QuotaBook::AccountOf(const std::string& aCustomer, Core::Instant aNow)
{
  const auto [entry, isNew] = accounts_.try_emplace(aCustomer);
  Account& account = entry->second;
  if (isNew) {
    UpdateBudget(account, aCustomer, aNow);
    account.settledAt = std::min(aNow, CompleteAt(aCustomer));
  }
  return account;
}

QuotaBook::Totals
QuotaBook::SumOf(const Account& aAccount)
{
  Totals totals;
  for (const auto& [node, share] : aAccount.shares) {
    totals.rate += share.rate;
    totals.depth += share.depth;
    totals.demand += share.demand;
    if (share.demand < kSteadyDemand)
      continue;
    totals.steadyDemand += share.demand;
    ++totals.steadyNodes;
  }
  return totals;
}

Allotment
QuotaBook::TargetFor(double aDemand,
                     const Totals& aTotals,
                     const Allotment& aBudget)
{
  if (aDemand < kSteadyDemand)
    return {};
  const double wanted = kHeadroom * aTotals.steadyDemand;
  const double shared =
    kSharedRate * aBudget.rate * aTotals.steadyDemand / aTotals.demand;
  const double scale = std::min(1.0, shared / wanted);
  Allotment target;
  target.rate = kHeadroom * aDemand * scale;
  const double depths =
    static_cast<double>(aTotals.steadyNodes) + kDepthSeconds * wanted * scale;
  const double depth = 1 + kDepthSeconds * target.rate;
  target.depth = depth * std::min(1.0, kSharedDepth * aBudget.depth / depths);
  // Without room for one token a rate is of no use.
  return target.depth < 1 ? Allotment{} : target;
}

void
QuotaBook::UpdateBudget(Account& aAccount,
                        const std::string& aCustomer,
                        Core::Instant aNow) const
{
  Allotment& budget = aAccount.budget;
  budget = allotments_.at(aCustomer);
  aAccount.hasRates = HasRates(budget);
  if (aNow >= CompleteAt(aCustomer))
    return;
  budget.rate = std::min(budget.rate, aAccount.reported.rate);
  budget.depth = std::min(budget.depth, aAccount.reported.depth);
}

void
QuotaBook::AccrueReserve(Account& aAccount, Core::Instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aAccount.settledAt;
  const double rate =
    std::max(0.0, aAccount.budget.rate - SumOf(aAccount).rate);
  aAccount.reserve += rate * elapsed.count();
  aAccount.settledAt = aNow;
}

void
QuotaBook::Settle(Account& aAccount,
                  const std::string& aCustomer,
                  Core::Instant aNow) const
{
  // An expired share counts until now, so the reserve accrues too little
  // rather than too much.
  AccrueReserve(aAccount, aNow);
  for (auto& [node, share] : aAccount.shares) {
    if (aNow < share.expiresAt)
      continue;
    share.rate = 0;
    share.depth = 0;
  }
  std::erase_if(aAccount.shares, [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.expiresAt &&
           aNow - aEntry.second.reportedAt >= kDemandMemory;
  });
  UpdateBudget(aAccount, aCustomer, aNow);
  const double room = aAccount.budget.depth - SumOf(aAccount).depth;
  aAccount.reserve = std::clamp(aAccount.reserve, 0.0, std::max(0.0, room));
}

Allotment
QuotaBook::Outstanding(const std::string& aCustomer, Core::Instant aNow)
{
  const auto account = accounts_.find(aCustomer);
  if (account == accounts_.end() || !allotments_.contains(aCustomer))
    return {};
  Settle(account->second, aCustomer, aNow);
  const Totals totals = SumOf(account->second);
  return { totals.rate, totals.depth + account->second.reserve };
}

void
QuotaBook::AddReported(Account& aAccount,
                       const std::string& aNode,
                       const ShareReport& aReport,
                       Core::Instant aNow) const
{
  if (aNow >= CompleteAt(aReport.customer) ||
      !aAccount.reporters.insert(aNode).second)
    return;
  aAccount.reported.rate += aReport.rate;
  aAccount.reported.depth += aReport.depth;
  aAccount.shares[aNode] = {
    aReport.rate, aReport.depth, aReport.demand, aNow, aNow + kShareLease
  };
}

ShareGrant
QuotaBook::Grant(Account& aAccount,
                 const std::string& aNode,
                 const ShareReport& aReport,
                 Core::Instant aNow) const
{
  Share& share = aAccount.shares[aNode];
  // The node reports what it holds exactly, unless that expired on the way.
  share.rate = std::min(share.rate, aReport.rate);
  share.depth = std::min(share.depth, aReport.depth);
  if (share.rate == 0 && share.depth == 0)
    share.expiresAt = aNow;
  share.demand = aReport.demand;
  share.reportedAt = aNow;
  const Totals totals = SumOf(aAccount);
  const Allotment& budget = aAccount.budget;
  const Allotment target =
    aAccount.hasRates ? TargetFor(share.demand, totals, budget) : Allotment{};
  const double freeRate = budget.rate - (totals.rate - share.rate);
  const double freeDepth = budget.depth - (totals.depth - share.depth);
  const double stock = std::min(aReport.stock, share.depth);
  ShareGrant grant{ aReport.customer };
  grant.rate = RoundDown(std::min(target.rate, std::max(freeRate, share.rate)));
  grant.depth =
    RoundDown(std::min(target.depth, std::max(freeDepth, share.depth)));
  const double prefill =
    std::clamp(grant.depth - stock, 0.0, kPrefill * aAccount.reserve);
  grant.tokens = RoundDown(
    std::min(aAccount.reserve, static_cast<double>(aReport.waiting) + prefill));
  // Tokens move from the reserve to the node, which needs room for them.
  grant.depth = std::max(grant.depth, RoundDown(stock + grant.tokens));
  aAccount.reserve -= grant.tokens;
  share.rate = std::max(share.rate, grant.rate);
  // Until the tokens arrive, the node may refill its former depth.
  share.depth = std::max(share.depth + grant.tokens, grant.depth);
  // The former share lasts until its own end if the answer doesn't arrive.
  share.expiresAt =
    std::max(share.expiresAt, aNow + LeaseOf(grant.rate) + kClockMargin);
  return grant;
}

ShareResponse
QuotaBook::Answer(const ShareRequest& aRequest, Core::Instant aNow)
{
  ShareResponse response;
  response.term = term_;
  // A request that names this term was sent after the term began, so shares in
  // it were valid then.
  if (term_ == 0 || aRequest.term != term_)
    return response;
  std::uint64_t& counter = counters_[aRequest.node];
  if (aRequest.counter <= counter)
    return response;
  counter = aRequest.counter;
  response.isAccepted = true;
  for (const ShareReport& report : aRequest.reports) {
    if (!allotments_.contains(report.customer))
      continue;
    Account& account = AccountOf(report.customer, aNow);
    AddReported(account, aRequest.node, report, aNow);
    Settle(account, report.customer, aNow);
    response.grants.push_back(Grant(account, aRequest.node, report, aNow));
    Settle(account, report.customer, aNow);
  }
  return response;
}

} // namespace Quota
