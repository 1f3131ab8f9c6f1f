#pragma once

#include <LibCore/Clock.h>
#include <LibQuota/Allotment.h>
#include <LibQuota/Messages.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Quota {

/**
 * The shares of all customers' quotas, at the holder of the failover duty.
 *
 * The shares that nodes may still hold never sum to more than the customer's
 * allotment. A node may hold the larger of the share that it reported last and
 * the one that it was given last, until both have expired. What isn't shared
 * out accrues in a reserve, from which nodes that run out get tokens. A node
 * with little demand gets tokens only: a rate would mostly be unused there. So
 * do all nodes for a customer with a small quota, whose tokens expire soon, so
 * that a new holder needn't wait long.
 *
 * A new holder doesn't know the shares that its predecessor gave. Until these
 * have expired it hands out only what nodes report, so the sum doesn't grow.
 */
class QuotaBook
{
public:
  /** Sets the allotments of all customers that have a quota. */
  void SetAllotments(std::map<std::string, Allotment> aAllotments,
                     Core::Instant aNow);

  /**
   * Sets the term in which this node holds the failover duty; 0: it doesn't.
   * A different term starts an empty book.
   */
  void SetTerm(std::uint64_t aTerm, Core::Instant aNow);

  ShareResponse Answer(const ShareRequest& aRequest, Core::Instant aNow);

  /** The sum of what nodes may hold, the reserve included. */
  Allotment Outstanding(const std::string& aCustomer, Core::Instant aNow);

private:
  /** What one node may hold. */
  struct Share
  {
    double rate = 0;
    double depth = 0;
    double demand = 0;
    Core::Instant reportedAt{};
    Core::Instant expiresAt{};
  };
  struct Account
  {
    /** What may be outstanding in total. */
    Allotment budget{};
    std::map<std::string, Share> shares{};
    /** Tokens of the reserve, and when they were last brought up to date. */
    double reserve = 0;
    Core::Instant settledAt{};
    /** What nodes have reported to a new holder. */
    Allotment reported{};
    /** Whether nodes with steady demand get rates. */
    bool hasRates = false;
    /** The nodes whose reports are in `reported`. */
    std::set<std::string> reporters{};
  };
  /** Sums over the shares of an account. */
  struct Totals
  {
    double rate = 0;
    double depth = 0;
    /** Of all nodes. */
    double demand = 0;
    /** Of the nodes with enough demand for a share. */
    double steadyDemand = 0;
    std::size_t steadyNodes = 0;
  };

  Account& AccountOf(const std::string& aCustomer, Core::Instant aNow);
  /** When all shares of earlier terms have expired. */
  Core::Instant CompleteAt(const std::string& aCustomer) const;
  void UpdateBudget(Account& aAccount,
                    const std::string& aCustomer,
                    Core::Instant aNow) const;
  static void AccrueReserve(Account& aAccount, Core::Instant aNow);
  void Settle(Account& aAccount,
              const std::string& aCustomer,
              Core::Instant aNow) const;
  static Totals SumOf(const Account& aAccount);
  static Allotment TargetFor(double aDemand,
                             const Totals& aTotals,
                             const Allotment& aBudget);
  /** Counts a share that the node holds from an earlier term. */
  void AddReported(Account& aAccount,
                   const std::string& aNode,
                   const ShareReport& aReport,
                   Core::Instant aNow) const;
  ShareGrant Grant(Account& aAccount,
                   const std::string& aNode,
                   const ShareReport& aReport,
                   Core::Instant aNow) const;

  std::map<std::string, Allotment> allotments_;
  std::map<std::string, Account> accounts_;
  /** By node: the counter of its last request. */
  std::map<std::string, std::uint64_t> counters_;
  std::uint64_t term_ = 0;
  Core::Instant termBeganAt_{};
  /** By customer: until when an earlier holder may have given it rates. */
  std::map<std::string, Core::Instant> ratesUntil_;
};

} // namespace Quota
