#pragma once

#include <LibPooler/ConnectionRequirements.h>
#include <LibPooler/FairShare.h>
#include <LibPooler/PooledConnection.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Pooler {

/** Why a pool can't provide a connection. */
enum class PoolRefusal
{
  None,
  /** The database was removed or can't be reached. */
  Unreachable,
};

/** Receives a connection, or null and the reason of the refusal. */
using ConnectionReceiver =
  std::function<void(PooledConnectionHandle, PoolRefusal)>;

/** A request that waits for a connection. */
struct Waiter
{
  std::uint64_t ticket;
  ConnectionRequirements requirements;
  ConnectionReceiver receiver;
  Core::Instant since;
};

/**
 * The requests that wait for a connection of a pool, by customer.
 *
 * Within a customer, those whose statement can still finish on time come first,
 * in the order of their due times; then the most overdue one. Under overload,
 * serving overdue waiters first would make all later waiters overdue as well.
 * Customers with a statement that can finish on time come first, and among
 * those the one that has used the pool least lately (see FairShare). With a
 * single customer this is the order of due times.
 */
class WaiterQueue
{
public:
  void Add(Waiter aWaiter);
  void Cancel(std::uint64_t aTicket);

  /**
   * Returns the next waiter of each customer, in the order in which customers
   * are to be served. aFinishedAt is when a statement that is sent now is
   * expected to finish. The pointers are valid until the queue changes.
   */
  std::vector<const Waiter*> Next(Core::Instant aFinishedAt,
                                  const FairShare& aShares,
                                  Core::Instant aNow) const;
  Waiter Take(const Waiter& aWaiter);
  /** Removes all waiters and returns them in the order of their due times. */
  std::vector<Waiter> TakeAll();

  bool IsEmpty() const { return customers_.empty(); }
  int Size() const { return size_; }
  int CountOf(const std::string& aCustomer) const;
  /** When the oldest request arrived; none if the queue is empty. */
  std::optional<Core::Instant> OldestSince() const;

private:
  /** Due time and ticket. */
  using Rank = std::pair<Core::Instant, std::uint64_t>;
  using Waiters = std::map<Rank, Waiter>;

  static Rank RankOf(const Waiter& aWaiter)
  {
    return { aWaiter.requirements.due, aWaiter.ticket };
  }

  /** By customer; never holds an empty list. */
  std::map<std::string, Waiters> customers_;
  int size_ = 0;
};

} // namespace Pooler
