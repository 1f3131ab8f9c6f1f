#pragma once

#include <cstdint>

namespace Pooler {

/** What dividing the quotas depends on in the failover duty. */
class QuotaDuty
{
public:
  virtual ~QuotaDuty() = default;
  /** The term of this node as holder of the duty; 0 if it isn't. */
  virtual std::uint64_t Term() const = 0;
  /**
   * True if each process that may hold a share of an earlier term is in the
   * roster.
   */
  virtual bool KnowsAllMembers() const = 0;
};

} // namespace Pooler
