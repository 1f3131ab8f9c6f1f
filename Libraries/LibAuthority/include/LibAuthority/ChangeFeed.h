#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibCore/Clock.h>

#include <memory>
#include <vector>

namespace Authority {

/** The result of a request to the store. */
enum class StoreStatus
{
  Done,
  /** The condition of a conditional write was not met. */
  Conflict,
  /**
   * The store no longer has the change history that was requested, or it has
   * been restored from a copy without that history.
   */
  HistoryGone,
  /** The store refused the request; it had no effect. */
  Refused,
  /** No reply: a write may have taken effect or may do so later. */
  NoAnswer,
};

inline constexpr Core::EnumNames<StoreStatus, 5> kStoreStatusNames{ {
  { { StoreStatus::Done, "done" },
    { StoreStatus::Conflict, "conflict" },
    { StoreStatus::HistoryGone, "history_gone" },
    { StoreStatus::Refused, "refused" },
    { StoreStatus::NoAnswer, "no_answer" } },
} };

/** The reply to a request for rows. */
struct StoreRows
{
  StoreStatus answer = StoreStatus::NoAnswer;
  /** A row with an empty value has been removed. */
  std::vector<StoredRow> rows;
  /** The store's version at the time of the reply. */
  std::uint64_t version = 0;
  /** More rows follow; continue from the key after the last row. */
  bool hasMore = false;
  /** Bytes of the response that arrived, even if the request failed. */
  std::size_t receivedBytes = 0;
  /** False if another node passed the rows on, which may lag behind. */
  bool isFromStore = true;
};

/**
 * A request to the store that has not been answered completely. Its destruction
 * cancels it: its handler never runs, and no more of its response is received.
 */
class PendingRequest
{
public:
  virtual ~PendingRequest() = default;

  /** Bytes of the response that have arrived so far. */
  virtual std::size_t ReceivedBytes() const = 0;
};

/** Reads the rows of the store's tables, or the changes made to them. */
class ChangeFeed
{
public:
  using RowsHandler = std::function<void(StoreRows)>;

  virtual ~ChangeFeed() = default;

  /**
   * Reads a page of a table's rows, starting at the key aFrom. Calls aDone
   * exactly once, never before ReadRows returns, unless the request is
   * cancelled. A request fails if its response doesn't begin or stops arriving,
   * but not for the time that a large response takes.
   */
  [[nodiscard]] virtual std::unique_ptr<PendingRequest> ReadRows(
    const std::string& aTable,
    const std::string& aFrom,
    RowsHandler aDone) = 0;

  /**
   * Long-polls for rows that changed after the version aAfter. Replies as soon
   * as there are any, or without rows once aWait has passed. Otherwise like
   * ReadRows.
   */
  [[nodiscard]] virtual std::unique_ptr<PendingRequest> AwaitChanges(
    const std::string& aTable,
    std::uint64_t aAfter,
    Core::Duration aWait,
    RowsHandler aDone) = 0;
};

} // namespace Authority
