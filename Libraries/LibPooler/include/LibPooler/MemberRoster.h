#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/LastReason.h>
#include <LibPooler/Peers.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Pooler {

/** The member processes, parsed from their rows in the store. */
class MemberRoster
{
public:
  static constexpr std::string_view kKeyPrefix = "member/";

  /** Returns aMember's row in the store. */
  static Authority::StoredRow RowOf(const Member& aMember);

  void Clear() { members_.clear(); }
  /**
   * Applies a member's row; an empty value removes the member. Returns false
   * and sets aReason if the row can't be parsed.
   */
  bool Apply(const Authority::StoredRow& aRow, Core::LastReason& aReason);

  const Member* Find(const std::string& aKey) const;
  /** All members, including expelled ones. */
  const std::map<std::string, Member>& All() const { return members_; }
  /**
   * The active members, ordered by name. Of each VM only the process whose row
   * was written last is included, since only one runs at a time. Rows of killed
   * processes stay until the holder of the failover duty removes them.
   */
  std::vector<Member> Present() const;
  /**
   * The keys of all members, expelled ones included, that haven't been replaced
   * by a later process of the same VM.
   */
  std::set<std::string> RunningProcesses() const;

private:
  std::map<std::string, Member> members_;
};

} // namespace Pooler
