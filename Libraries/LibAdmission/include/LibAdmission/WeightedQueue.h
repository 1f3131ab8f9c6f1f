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

/** A request that wants a slot. */
struct Ticket
{
  std::uint64_t number = 0;
  std::string kind;
  /** What one request of the kind counts for; at least 1. */
  std::int64_t weight = 1;
  Core::Instant deadline;
};

/** How slots are shared out. */
enum class QueueOrder
{
  /** By weight among kinds, by deadline inside a kind. */
  Weighted,
  /** First come, first served; the plain alternative. */
  Arrival,
};

struct QueueLimits
{
  QueueOrder order = QueueOrder::Weighted;
  /** Tickets that may wait. */
  std::size_t longest = 0;
  /** Slots that serve the queue. */
  std::size_t slots = 1;
};

/** Why a ticket will not get a slot in time. */
struct Refusal
{
  std::uint64_t number = 0;
  /** After how long another try makes sense. */
  Core::Duration retryAfter{ 0 };
};

/**
 * Requests waiting for one database's slots.
 *
 * Kinds share the slots in proportion to their weights (stride scheduling),
 * so that a heavy kind goes first and no kind starves. What can't meet its
 * deadline is refused at the door, before anything has run.
 */
class WeightedQueue
{
public:
  explicit WeightedQueue(const QueueLimits& aLimits);
  void SetLimits(const QueueLimits& aLimits) { limits_ = aLimits; }

  /**
   * Takes aTicket, or gives the refusals that taking it costs: aTicket's own,
   * or that of a lighter ticket which it displaces.
   */
  std::optional<Refusal> Offer(const Ticket& aTicket, Core::Instant aNow);

  /** The next ticket for a free slot. */
  std::optional<Ticket> Next();

  /** Removes and returns the tickets whose deadline has passed. */
  std::vector<Refusal> Expire(Core::Instant aNow);

  /** Takes a ticket out, for a caller that has gone. */
  bool Remove(std::uint64_t aNumber);

  /** Learns how long a slot was held. */
  void RecordService(Core::Duration aTime);

  /** How long a new ticket of aKind would wait. */
  Core::Duration ExpectedWait(const std::string& aKind,
                              std::int64_t aWeight) const;

  /** How long the slots take to serve aAhead requests. */
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
    /** The kind's place in the stride schedule: service had, by weight. */
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
  Core::Duration meanService_;
};

} // namespace Admission
