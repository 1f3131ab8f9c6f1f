#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/Clock.h>

#include <vector>

namespace Authority {

/** How a call to the store ended. */
enum class StoreStatus
{
  Done,
  /** A condition didn't hold. */
  Conflict,
  /** The store has forgotten the history that the question needs. */
  HistoryGone,
  /** The store refused the call; nothing was done. */
  Refused,
  /** No answer; a write may have been done or may be done later. */
  NoAnswer,
};

inline constexpr Core::EnumNames<StoreStatus, 5> kStoreStatusNames{ {
  { { StoreStatus::Done, "done" },
    { StoreStatus::Conflict, "conflict" },
    { StoreStatus::HistoryGone, "history_gone" },
    { StoreStatus::Refused, "refused" },
    { StoreStatus::NoAnswer, "no_answer" } },
} };

struct StoreRows
{
  StoreStatus answer = StoreStatus::NoAnswer;
  /** Removed rows have an empty value. */
  std::vector<StoredRow> rows;
  /** The newest version of the whole store. */
  std::uint64_t version = 0;
  /** More rows follow the last one. */
  bool hasMore = false;
};

/** Reads tables of the store whole, or what has changed in them. */
class ChangeFeed
{
public:
  using RowsHandler = std::function<void(StoreRows)>;

  virtual ~ChangeFeed() = default;

  /**
   * The rows of a table, from the key aFrom on. aDone runs once, never from
   * inside.
   */
  virtual void ReadRows(const std::string& aTable,
                        const std::string& aFrom,
                        RowsHandler aDone) = 0;

  /**
   * The rows that changed after the version aAfter, once there are any or aWait
   * is over. aDone runs once, never from inside.
   */
  virtual void AwaitChanges(const std::string& aTable,
                            std::uint64_t aAfter,
                            Core::Duration aWait,
                            RowsHandler aDone) = 0;
};

} // namespace Authority
