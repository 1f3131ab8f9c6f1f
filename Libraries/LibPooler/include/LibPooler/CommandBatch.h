#pragma once

#include <LibCore/Scheduler.h>
#include <LibSql/DatabaseLink.h>

#include <functional>
#include <memory>
#include <vector>

namespace Pooler {

/** The outcome of a batch of commands. */
struct BatchResult
{
  /** The replies didn't arrive within the timeout. */
  bool isSilent = false;
  /** The index of the first failed command; the batch's size if none failed. */
  std::size_t failed = 0;
  /** The reply of the failed command, or the last reply. */
  Sql::DatabaseReply reply;
};

/**
 * Sends commands without waiting for the replies in between, and reports to
 * aDone when all have succeeded, one has failed, or aTimeout has passed. aDone
 * is called once, never from within SendBatch. Destroying the returned handle
 * cancels the report.
 */
[[nodiscard]] std::shared_ptr<void>
SendBatch(Core::Scheduler& aScheduler,
          Sql::DatabaseLink& aLink,
          const std::vector<Sql::DatabaseCommand>& aCommands,
          Core::Duration aTimeout,
          std::function<void(const BatchResult&)> aDone);

} // namespace Pooler
