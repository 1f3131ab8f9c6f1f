#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <vector>

namespace Pooler {

/** What a customer's next waiter needs, as of now. */
struct PoolDemand
{
  /** An idle connection fits. */
  bool hasIdle = false;
  /** The customer's waiters. */
  int waiting = 0;
  /** The customer's connections that are being opened. */
  int dialling = 0;
  /** The customer's connections that are in use. */
  int inUse = 0;
};

/** What a pool can give, as of now. */
struct PoolSupply
{
  /** A connection may be opened without closing another one. */
  bool hasRoom = false;
  /** An idle connection belongs to a customer that has no waiter. */
  bool hasUnwantedIdle = false;
  /** One of these has been idle for kMinIdleBeforeReplacement. */
  bool hasUnusedIdle = false;
  /** Dials aren't suspended after a failure. */
  bool mayDial = true;
  /**
   * How often connections were reused since one was last replaced, while a
   * customer that came first had none and there was no room for one.
   */
  int reusesOutOfOrder = 0;
};

/**
 * The most that connections are reused out of order before one is replaced.
 * Opening a connection takes processor time of the database, so that replacing
 * one for each statement would cost much of what the database can do.
 */
inline constexpr int kMaxReusesOutOfOrder = 3;

/**
 * A customer that has a connection gets another one in place of an idle
 * connection only if that one was idle for this long. A shorter burst waits for
 * the connection that the customer has.
 */
inline constexpr Core::Duration kMinIdleBeforeReplacement =
  std::chrono::milliseconds(250);

enum class PoolAction
{
  /** Nothing can be done until a connection is returned or opened. */
  Wait,
  /** Gives the customer's next waiter an idle connection of the customer. */
  Reuse,
  /** The same, although a customer that comes first has no connection. */
  ReuseOutOfOrder,
  /** Opens a connection for the customer. */
  Dial,
  /** Closes an idle connection that no waiter wants, then opens one. */
  ReplaceUnwanted,
  /** Closes an idle connection of another customer, then opens one. */
  ReplaceWanted,
};

/** What a pool does next, and for which of the demands (its index). */
struct PoolStep
{
  PoolAction action = PoolAction::Wait;
  std::size_t demand = 0;
};

/** Decides what a pool does next. aDemands are in the order of precedence. */
PoolStep
NextPoolStep(const std::vector<PoolDemand>& aDemands,
             const PoolSupply& aSupply);

} // namespace Pooler
