#pragma once

#include <LibCore/Scheduler.h>
#include <LibPooler/SessionValues.h>

#include <optional>
#include <string>

namespace Pooler {

/** What the caller of Acquire requires of a connection. */
struct ConnectionRequirements
{
  /** When the statement is due; orders the waiters. */
  Core::Instant due;
  /** Session values; an idle connection that has them already is preferred. */
  Values values{};
  std::optional<std::string> preparedText{};
  /** A connection that was idle for long must be validated first. */
  bool mustValidate = false;
  /**
   * The customer whom the database is told; empty if there is none. Only a
   * connection that was opened for the same customer fits.
   */
  std::string customer{};
  /**
   * The connection carries only commands of this node, so that one of any
   * customer fits.
   */
  bool fitsAnyCustomer = false;
};

} // namespace Pooler
