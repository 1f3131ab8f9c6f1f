#include <LibAdmission/WeightedQueue.h>

#include <algorithm>

namespace Admission {

namespace {

/** Assumed as the mean service time until one has been measured. */
constexpr Core::Duration kInitialServiceTime = std::chrono::milliseconds(2);
/** A new service time counts for one part in this many of the mean. */
constexpr int kServiceTimeSmoothing = 16;

} // namespace

WeightedQueue::WeightedQueue(const QueueLimits& aLimits)
  : limits_(aLimits)
  , meanServiceTime_(kInitialServiceTime)
{
}

std::optional<Refusal>
WeightedQueue::Offer(const Ticket& aTicket, Core::Instant aNow)
{
  const Core::Duration wait = ExpectedWait(aTicket.kind, aTicket.weight);
  if (aNow + wait + meanServiceTime_ > aTicket.deadline)
    return Refusal{ aTicket.number, wait };
  std::optional<Refusal> displaced;
  if (length_ >= limits_.longest) {
    displaced = Displace(aTicket);
    if (!displaced)
      return Refusal{ aTicket.number, wait };
  }
  Insert(aTicket);
  return displaced;
}

void
WeightedQueue::Insert(const Ticket& aTicket)
{
  Kind& kind = kinds_[aTicket.kind];
  kind.weight = std::max<std::int64_t>(1, aTicket.weight);
  // A kind gets no credit for the time in which it had no tickets.
  if (kind.waiting.empty())
    kind.pass = std::max(kind.pass, currentPass_);
  const auto place =
    std::upper_bound(kind.waiting.begin(),
                     kind.waiting.end(),
                     aTicket.deadline,
                     [](Core::Instant aDeadline, const Waiting& aWaiting) {
                       return aDeadline < aWaiting.ticket.deadline;
                     });
  kind.waiting.insert(place, { aTicket, ++arrivals_ });
  ++length_;
}

std::map<std::string, WeightedQueue::Kind>::iterator
WeightedQueue::FindNext()
{
  const bool byArrival = limits_.order == QueueOrder::Arrival;
  const auto rank = [byArrival](const Kind& aKind) {
    return byArrival ? static_cast<double>(aKind.waiting.front().arrival)
                     : aKind.pass;
  };
  auto best = kinds_.end();
  for (auto kind = kinds_.begin(); kind != kinds_.end(); ++kind) {
    if (kind->second.waiting.empty())
      continue;
    if (best == kinds_.end() || rank(kind->second) < rank(best->second))
      best = kind;
  }
  return best;
}

std::optional<Ticket>
WeightedQueue::Next()
{
  const auto found = FindNext();
  if (found == kinds_.end())
    return std::nullopt;
  Kind& kind = found->second;
  const Ticket ticket = kind.waiting.front().ticket;
  kind.waiting.pop_front();
  --length_;
  currentPass_ = kind.pass;
  kind.pass += 1.0 / static_cast<double>(kind.weight);
  return ticket;
}

std::optional<Refusal>
WeightedQueue::Displace(const Ticket& aTicket)
{
  auto lightest = kinds_.end();
  for (auto kind = kinds_.begin(); kind != kinds_.end(); ++kind) {
    if (kind->second.waiting.empty() || kind->second.weight >= aTicket.weight)
      continue;
    if (lightest == kinds_.end() ||
        kind->second.weight < lightest->second.weight)
      lightest = kind;
  }
  if (lightest == kinds_.end() || limits_.order == QueueOrder::Arrival)
    return std::nullopt;
  // The ticket with the latest deadline has the most time for a retry.
  Kind& kind = lightest->second;
  const Ticket dropped = kind.waiting.back().ticket;
  kind.waiting.pop_back();
  --length_;
  return Refusal{ dropped.number, ExpectedWait(dropped.kind, dropped.weight) };
}

std::vector<Refusal>
WeightedQueue::Expire(Core::Instant aNow)
{
  std::vector<Refusal> refusals;
  for (auto& [name, kind] : kinds_) {
    while (!kind.waiting.empty() &&
           kind.waiting.front().ticket.deadline <= aNow) {
      refusals.push_back({ kind.waiting.front().ticket.number,
                           ExpectedWait(name, kind.weight) });
      kind.waiting.pop_front();
      --length_;
    }
  }
  return refusals;
}

bool
WeightedQueue::Remove(std::uint64_t aNumber)
{
  for (auto& [name, kind] : kinds_) {
    const auto found = std::find_if(kind.waiting.begin(),
                                    kind.waiting.end(),
                                    [aNumber](const Waiting& aWaiting) {
                                      return aWaiting.ticket.number == aNumber;
                                    });
    if (found == kind.waiting.end())
      continue;
    kind.waiting.erase(found);
    --length_;
    return true;
  }
  return false;
}

void
WeightedQueue::RecordServiceTime(Core::Duration aTime)
{
  meanServiceTime_ += (aTime - meanServiceTime_) / kServiceTimeSmoothing;
}

Core::Duration
WeightedQueue::ExpectedWait(const std::string& aKind,
                            std::int64_t aWeight) const
{
  std::size_t ahead = length_;
  if (limits_.order == QueueOrder::Weighted) {
    std::int64_t activeWeight = aWeight;
    std::size_t ownLength = 0;
    for (const auto& [name, kind] : kinds_) {
      if (name == aKind)
        ownLength = kind.waiting.size();
      else if (!kind.waiting.empty())
        activeWeight += kind.weight;
    }
    // The kind gets aWeight / activeWeight of the slots, so its own tickets
    // take as long as this many tickets that all slots serve.
    const auto share = static_cast<std::size_t>(
      static_cast<std::int64_t>(ownLength) * activeWeight /
      std::max<std::int64_t>(1, aWeight));
    ahead = std::min(ahead, share);
  }
  return WaitBehind(ahead);
}

Core::Duration
WeightedQueue::WaitBehind(std::size_t aAhead) const
{
  return meanServiceTime_ * static_cast<std::int64_t>(aAhead) /
         static_cast<std::int64_t>(std::max<std::size_t>(1, limits_.slots));
}

} // namespace Admission
