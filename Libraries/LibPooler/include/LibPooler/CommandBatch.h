#pragma once

#include <LibCore/Scheduler.h>
#include <LibSql/DatabaseLink.h>

#include <functional>
#include <memory>
#include <vector>

namespace Pooler {

/** How commands that were sent together ended. */
struct BatchResult
{
  /** No answer came in time. */
  bool isSilent = false;
  /** Which command failed; the number of commands if none did. */
  std::size_t failed = 0;
  /** The answer that failed, or the last one. */
  Sql::DatabaseReply reply;
};

/**
 * Sends commands one behind the other and awaits all answers. Dropping the
 * handle cancels what would be told. aDone runs once, never from inside.
 */
[[nodiscard]] std::shared_ptr<void>
SendBatch(Core::Scheduler& aScheduler,
          Sql::DatabaseLink& aLink,
          const std::vector<Sql::DatabaseCommand>& aCommands,
          Core::Duration aTimeout,
          std::function<void(const BatchResult&)> aDone);

} // namespace Pooler
