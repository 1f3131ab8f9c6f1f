#pragma once

#include <LibCore/Clock.h>

#include <map>
#include <string>

namespace Pooler {

/** The connections that a pool is opening, and its backoff after failures. */
class PendingDials
{
public:
  void Begin(const std::string& aCustomer);
  void Succeed(const std::string& aCustomer);
  /** Suspends dials: for longer after each failure without a success. */
  void Fail(const std::string& aCustomer, Core::Instant aNow);

  int Count() const { return count_; }
  int CountFor(const std::string& aCustomer) const;
  /** The number of failures since the last success. */
  int Failures() const { return failures_; }
  /**
   * Returns true if another dial may begin. After a failure, one is tried at a
   * time until one succeeds: a database at its limit, or slow to open
   * connections, gets no burst of them.
   */
  bool MayBegin(Core::Instant aNow) const
  {
    return !AreSuspended(aNow) && (failures_ == 0 || count_ == 0);
  }
  bool AreSuspended(Core::Instant aNow) const { return aNow < suspendedUntil_; }
  Core::Instant SuspendedUntil() const { return suspendedUntil_; }

private:
  void End(const std::string& aCustomer);

  int count_ = 0;
  std::map<std::string, int> countByCustomer_;
  int failures_ = 0;
  Core::Instant suspendedUntil_{};
};

} // namespace Pooler
