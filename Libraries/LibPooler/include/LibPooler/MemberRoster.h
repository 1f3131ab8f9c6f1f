#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/LastReason.h>
#include <LibPooler/Peers.h>

#include <map>
#include <string>
#include <vector>

namespace Pooler {

/** The processes of the system by their rows in the store. */
class MemberRoster
{
public:
  static constexpr std::string_view kKeyPrefix = "member/";

  /** The row by which aMember makes itself known. */
  static Authority::StoredRow RowOf(const Member& aMember);

  void Clear() { members_.clear(); }
  /** Takes a member's row; one with an empty value has been removed. */
  bool Apply(const Authority::StoredRow& aRow, Core::LastReason& aReason);

  const Member* Find(const std::string& aKey) const;
  /** All, also those that are expelled. */
  const std::map<std::string, Member>& All() const { return members_; }
  /**
   * Those that take part, in the order of their names: of each VM the process
   * that began last, since there is only one at a time. The rows of those that
   * were killed stay until the holder of the failover duty removes them.
   */
  std::vector<Member> Present() const;

private:
  std::map<std::string, Member> members_;
};

} // namespace Pooler
