#pragma once

#include <LibPooler/ConnectionPool.h>

#include <functional>
#include <memory>

namespace Pooler {

/** A statement sent to a database, and the connection that it was sent on. */
class SentStatement : public std::enable_shared_from_this<SentStatement>
{
public:
  /** Receives the reply, and whether Detach was called before it came. */
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
   * Lets the statement run on without its sender, which also sends it to
   * another database. Returns the connection to the pool on the reply, or
   * closes it if there is none within aLimit.
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
