#pragma once

#include <LibPooler/ConnectionPool.h>

#include <functional>
#include <memory>

namespace Pooler {

/** A statement that a database has, and the connection that carries it. */
class SentStatement : public std::enable_shared_from_this<SentStatement>
{
public:
  using Handler = std::function<void(Sql::DatabaseReply, bool aIsDetached)>;

  /**
   * Sends aCommand on a connection of aPool. aHandler runs once, unless the
   * last handle of the result goes before.
   */
  static std::shared_ptr<SentStatement> Send(
    std::shared_ptr<ConnectionPool> aPool,
    PooledConnectionHandle aConnection,
    const Sql::DatabaseCommand& aCommand,
    Handler aHandler);

  /**
   * Takes the connection over, since another database is asked meanwhile: it
   * goes back with the answer, or is closed without one after aLimit.
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
  bool isOver_ = false;
};

} // namespace Pooler
