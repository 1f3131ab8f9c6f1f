#pragma once

#include <LibPooler/ConnectionPool.h>

#include <functional>
#include <memory>

namespace Pooler {

/** A statement sent to a database, and the connection that it was sent on. */
class SentStatement : public std::enable_shared_from_this<SentStatement>
{
public:
  using Handler = std::function<void(Sql::DatabaseReply, bool aIsDetached)>;

  /**
   * Sends aCommand on a connection of aPool. aHandler runs once with the reply,
   * unless the returned object is destroyed before.
   */
  static std::shared_ptr<SentStatement> Send(
    std::shared_ptr<ConnectionPool> aPool,
    PooledConnectionHandle aConnection,
    const Sql::DatabaseCommand& aCommand,
    Handler aHandler);

  /**
   * Takes over the connection when the statement is also sent to another
   * database. The connection is returned to the pool on the reply, or closed
   * if there is none within aLimit.
   */
  void Detach(Core::Scheduler& aScheduler, Core::Duration aLimit);

private:
  SentStatement(std::shared_ptr<ConnectionPool> aPool,
                PooledConnectionHandle aConnection,
                Handler aHandler);
  void OnReply(Sql::DatabaseReply aReply);

  std::shared_ptr<ConnectionPool> pool_;
  PooledConnectionHandle connection_;
  Handler handler_;
  bool isDetached_ = false;
  bool isFinished_ = false;
};

} // namespace Pooler
