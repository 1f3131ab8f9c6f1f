#pragma once

#include <LibPooler/GroupRouter.h>

#include <set>
#include <string>

namespace Pooler {

/**
 * Keeps the samples of each group's primary young: asks the primary how far its
 * log goes when no statement's answer has told lately.
 */
class SampleRefresher
{
public:
  SampleRefresher(Core::Scheduler& aScheduler,
                  const Sql::DatabaseDialer& aDialer,
                  const GroupRouters& aRouters);

  /** Others get their samples of a group here, which must be younger then. */
  void SetShared(const std::string& aGroup, bool aIsShared);

private:
  void Tick();
  bool IsFresh(const GroupRouter& aRouter) const;
  void Sample(GroupRouter& aRouter);
  void Ask(GroupRouter& aRouter,
           const RoutingChoice& aChoice,
           const PooledConnectionHandle& aConnection);

  Core::Scheduler& scheduler_;
  const Sql::DatabaseDialer& dialer_;
  const GroupRouters& routers_;
  /** The groups whose primary is being asked. */
  std::set<std::string> asking_;
  std::set<std::string> shared_;
  Core::TimerHandle tick_;
};

} // namespace Pooler
