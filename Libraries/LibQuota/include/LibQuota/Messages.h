#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Quota {

/**
 * How long a share lasts, from the sending of the request that it answers, on
 * the clock of the node that holds it. Longer than the failover duty takes to
 * move to another node, so that a change of holder leaves no gap.
 */
inline constexpr Core::Duration kShareLease = std::chrono::milliseconds(4000);
/** The same for a share without a rate, for operations that already wait. */
inline constexpr Core::Duration kTokenLease = std::chrono::milliseconds(500);

/** How long the share of that rate lasts. */
constexpr Core::Duration
LeaseOf(double aRate)
{
  return aRate > 0 ? kShareLease : kTokenLease;
}

/** Rates and depths are given in steps of this fraction of an operation. */
inline constexpr double kUnitsPerOperation = 1000;

/** A node's share of one customer's quota, as the node reports it. */
struct ShareReport
{
  std::string customer;
  /** The share that the node holds; 0 if it has none or it has expired. */
  double rate = 0;
  double depth = 0;
  /** Operations that it may still run at once. */
  double stock = 0;
  /** Operations a second that clients have asked of it recently. */
  double demand = 0;
  /** Operations that wait for a decision. */
  std::int64_t waiting = 0;
};

/** Sent by a node to the holder of the failover duty. */
struct ShareRequest
{
  /** The member key of the node. */
  std::string node;
  /** The holder's term as last received by the node; 0 before the first. */
  std::uint64_t term = 0;
  /** Increases with each request of the node; orders its requests. */
  std::uint64_t counter = 0;
  /** Customers not listed here keep their shares until these expire. */
  std::vector<ShareReport> reports{};
};

/** A share that replaces the one reported in the request. */
struct ShareGrant
{
  std::string customer;
  double rate = 0;
  double depth = 0;
  /** Added to the node's stock at once. */
  double tokens = 0;
};

struct ShareResponse
{
  /** 0: the receiver doesn't hold the failover duty. */
  std::uint64_t term = 0;
  /**
   * False if the request named another term or was late. No share has changed
   * then.
   */
  bool isAccepted = false;
  std::vector<ShareGrant> grants{};
};

} // namespace Quota
