#pragma once

#include <LibPooler/GroupRouter.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Pooler {

/**
 * Keeps the samples of each group's log position recent: requests the position
 * from the primary when no reply to a statement has given one recently. Reads
 * at replicas depend on recent samples.
 */
class SampleRefresher
{
public:
  SampleRefresher(Core::Scheduler& aScheduler,
                  const Sql::DatabaseDialer& aDialer,
                  const GroupRouters& aRouters);

  /**
   * Sets whether other nodes get their samples of a group from this node. Its
   * samples must be more recent then.
   */
  void SetShared(const std::string& aGroup, bool aIsShared);

private:
  void Tick();
  bool IsFresh(const GroupRouter& aRouter) const;
  /** True while a request for the group's position may still be answered. */
  bool IsOutstanding(const std::string& aGroup) const;
  void RefreshSample(GroupRouter& aRouter);
  void RequestPosition(GroupRouter& aRouter,
                       ConnectionPool& aPool,
                       Session::Term aTerm,
                       const PooledConnectionHandle& aConnection);

  Core::Scheduler& scheduler_;
  const Sql::DatabaseDialer& dialer_;
  const GroupRouters& routers_;
  /**
   * The pool of the request to each group's primary. A pool that is destroyed
   * leaves its requests unanswered.
   */
  std::map<std::string, std::weak_ptr<ConnectionPool>> outstanding_;
  /** The groups whose samples other nodes use. */
  std::set<std::string> shared_;
  Core::TimerHandle tick_;
};

} // namespace Pooler
