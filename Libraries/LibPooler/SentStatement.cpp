#include <LibPooler/SentStatement.h>

#include <utility>

namespace Pooler {

SentStatement::SentStatement(std::shared_ptr<ConnectionPool> aPool,
                             PooledConnectionHandle aConnection,
                             Handler aHandler)
  : pool_(std::move(aPool))
  , connection_(std::move(aConnection))
  , handler_(std::move(aHandler))
{
}

std::shared_ptr<SentStatement>
SentStatement::Send(std::shared_ptr<ConnectionPool> aPool,
                    PooledConnectionHandle aConnection,
                    const Sql::DatabaseCommand& aCommand,
                    Handler aHandler)
{
  const PooledConnectionHandle connection = aConnection;
  std::shared_ptr<SentStatement> sent(new SentStatement(
    std::move(aPool), std::move(aConnection), std::move(aHandler)));
  // A weak pointer avoids a cycle: the connection's link owns this callback,
  // and the statement owns the connection.
  connection->Send(aCommand,
                   [weak = std::weak_ptr(sent)](Sql::DatabaseReply aReply) {
                     if (const auto live = weak.lock())
                       live->OnReply(std::move(aReply));
                   });
  return sent;
}

void
SentStatement::OnReply(Sql::DatabaseReply aReply)
{
  isFinished_ = true;
  if (isDetached_)
    pool_->Release(connection_);
  handler_(std::move(aReply), isDetached_);
}

void
SentStatement::Detach(Core::Scheduler& aScheduler, Core::Duration aLimit)
{
  isDetached_ = true;
  aScheduler.DeferFor(aLimit, [self = shared_from_this()] {
    if (!std::exchange(self->isFinished_, true))
      self->pool_->Discard(self->connection_);
  });
}

} // namespace Pooler
