#include <LibPooler/IdleConnections.h>

#include <algorithm>

namespace Pooler {

namespace {

bool
Fits(const PooledConnection& aConnection,
     const ConnectionRequirements& aRequirements)
{
  return aRequirements.fitsAnyCustomer ||
         aConnection.Customer() == aRequirements.customer;
}

} // namespace

void
IdleConnections::Add(const PooledConnectionHandle& aConnection)
{
  connections_.push_front(aConnection);
}

void
IdleConnections::Remove(const PooledConnectionHandle& aConnection)
{
  connections_.remove(aConnection);
}

bool
IdleConnections::HasFor(const ConnectionRequirements& aRequirements) const
{
  return std::any_of(connections_.begin(),
                     connections_.end(),
                     [&aRequirements](const auto& aConnection) {
                       return Fits(*aConnection, aRequirements);
                     });
}

PooledConnectionHandle
IdleConnections::Take(const ConnectionRequirements& aRequirements)
{
  auto best = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (!Fits(**it, aRequirements))
      continue;
    if (best == connections_.end())
      best = it;
    if ((*it)->state.Fits(aRequirements.values, nullptr)) {
      best = it;
      break;
    }
  }
  if (best == connections_.end())
    return nullptr;
  PooledConnectionHandle connection = *best;
  connections_.erase(best);
  return connection;
}

PooledConnectionHandle
IdleConnections::LeastRecentWhere(const CustomerPredicate& aPredicate) const
{
  const auto found = std::find_if(connections_.rbegin(),
                                  connections_.rend(),
                                  [&aPredicate](const auto& aConnection) {
                                    return aPredicate(aConnection->Customer());
                                  });
  return found == connections_.rend() ? nullptr : *found;
}

void
IdleConnections::CloseUnusedSince(Core::Instant aLimit)
{
  while (connections_.size() > 1 && connections_.back()->IdleSince() < aLimit)
    connections_.pop_back();
}

} // namespace Pooler
