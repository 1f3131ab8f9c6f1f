#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

/** A request for a slot of a database. */
struct Ticket
{
  std::uint64_t number = 0;
  std::string kind;
  /** The kind's share of the slots, relative to other kinds; at least 1. */
  std::int64_t weight = 1;
  Core::Instant deadline;
};

/** How slots are assigned. */
enum class QueueOrder
{
  /** By weight among kinds, by deadline within a kind. */
  Weighted,
  /** First come, first served; weights are ignored. */
  Arrival,
};

struct QueueLimits
{
  QueueOrder order = QueueOrder::Weighted;
  /** The maximum number of waiting tickets. */
  std::size_t longest = 0;
  /** The number of slots that serve the queue. */
  std::size_t slots = 1;
};

/** The refusal of a ticket that can't meet its deadline or finds no place. */
struct Refusal
{
  std::uint64_t number = 0;
  /** The expected wait for a slot, after which a retry may succeed. */
  Core::Duration retryAfter{ 0 };
};

/**
 * The queue of requests for one database's slots.
 *
 * Kinds share the slots in proportion to their weights (stride scheduling), so
 * that kinds of high weight are preferred and no kind starves. A ticket that
 * can't meet its deadline is refused when it is offered, before anything has
 * run.
 */
class WeightedQueue
{
public:
  explicit WeightedQueue(const QueueLimits& aLimits);
  void SetLimits(const QueueLimits& aLimits) { limits_ = aLimits; }

  /**
   * Adds aTicket. Returns a refusal if a ticket gets no place: aTicket itself,
   * or a ticket of lower weight that it displaces from a full queue.
   */
  std::optional<Refusal> Offer(const Ticket& aTicket, Core::Instant aNow);

  /** Removes and returns the next ticket, for a free slot. */
  std::optional<Ticket> Next();

  /** Removes the tickets whose deadline has passed; returns their refusals. */
  std::vector<Refusal> Expire(Core::Instant aNow);

  /** Removes the ticket of a caller that has disconnected, if it waits. */
  bool Remove(std::uint64_t aNumber);

  /** Adds the time that a slot was held to the mean service time. */
  void RecordServiceTime(Core::Duration aTime);

  /** Estimates the wait of a new ticket of aKind. */
  Core::Duration ExpectedWait(const std::string& aKind,
                              std::int64_t aWeight) const;

  /** Estimates the time in which the slots serve aAhead requests. */
  Core::Duration WaitBehind(std::size_t aAhead) const;

  std::size_t Length() const { return length_; }

private:
  struct Waiting
  {
    Ticket ticket;
    std::uint64_t arrival = 0;
  };
  struct Kind
  {
    std::int64_t weight = 1;
    /**
     * The pass of stride scheduling: rises by 1 / weight with each ticket
     * served. The kind with the lowest pass is served next.
     */
    double pass = 0;
    std::deque<Waiting> waiting;
  };

  void Insert(const Ticket& aTicket);
  std::map<std::string, Kind>::iterator FindNext();
  std::optional<Refusal> Displace(const Ticket& aTicket);

  QueueLimits limits_;
  std::map<std::string, Kind> kinds_;
  std::size_t length_ = 0;
  std::uint64_t arrivals_ = 0;
  double currentPass_ = 0;
  Core::Duration meanServiceTime_;
};

} // namespace Admission
