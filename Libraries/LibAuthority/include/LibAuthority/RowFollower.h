#pragma once

#include <LibAuthority/ChangeFeed.h>
#include <LibCore/Random.h>
#include <LibCore/Scheduler.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Authority {

/** Rows of one table, as the store returned them. */
struct FollowedRows
{
  /** True if `rows` is the complete table, false if it holds changes only. */
  bool isSnapshot = false;
  /** A row with an empty value has been removed. */
  std::vector<StoredRow> rows;
  /** The store version up to which all changes have been delivered. */
  std::uint64_t version = 0;
  /** When the request was sent. */
  Core::Instant requestedAt;
};

struct FollowTiming
{
  /** The duration of a long poll without updates from peers. */
  Core::Duration shortWait;
  /** The duration of a long poll while peers report changes. */
  Core::Duration longWait;
  /** The delay before the next poll after a change, to batch changes. */
  Core::Duration pause;
};

/**
 * Reads a snapshot of a table and then follows its changes by long polling,
 * until destroyed. Every request costs the store something, so polls are long
 * while peers would report a change that this node misses. Without peers they
 * are short, since a connection may have stopped delivering without an error.
 */
class RowFollower
{
public:
  using Handler = std::function<void(const FollowedRows&)>;
  /** Receives a log event, the table and the status that caused it. */
  using LogSink =
    std::function<void(std::string_view, std::string_view aTable, StoreStatus)>;

  /**
   * aReceivesFromPeers returns true while peers would report a change that this
   * node misses.
   */
  RowFollower(Core::Scheduler& aScheduler,
              ChangeFeed& aFeed,
              std::string aTable,
              FollowTiming aTiming,
              Core::Random aRandom,
              std::function<bool()> aReceivesFromPeers,
              Handler aHandler,
              LogSink aLog);
  ~RowFollower();
  RowFollower(const RowFollower&) = delete;
  RowFollower& operator=(const RowFollower&) = delete;

  /** Begins with a snapshot; to be called once. */
  void Start();

  /** The newest version among all rows received so far. */
  std::uint64_t NewestRowVersion() const { return newestRowVersion_; }

  /**
   * Reports that a peer has received a row of this version. Repeats the request
   * if that row is unknown here and the pending request should have returned
   * it.
   */
  void OnSeenByPeer(std::uint64_t aVersion);

  /** Requests changes immediately, replacing a pending long poll. */
  void Refresh();

private:
  /** Reads the next page, from the key aFrom; aRows holds earlier pages. */
  void ReadSnapshot(FollowedRows aRows, const std::string& aFrom);
  void OnSnapshot(FollowedRows aRows, StoreRows aReply);
  void Follow(Core::Duration aWait);
  void OnChanges(const StoreRows& aReply, Core::Instant aRequestedAt);
  Core::Duration NextWait() const;
  void Deliver(const FollowedRows& aRows);
  /** Replaces a pending long poll by a short one if peers no longer report. */
  void CheckRequestTimeout();
  /** Counts a failed request and runs aRetry after a back-off delay. */
  void Retry(StoreStatus aStatus, std::function<void()> aRetry);
  void ResetFailures();
  /** Begins a request; wraps its handler to ignore it once another begins. */
  ChangeFeed::RowsHandler IfCurrent(ChangeFeed::RowsHandler aHandler);

  Core::Scheduler& scheduler_;
  ChangeFeed& feed_;
  std::string table_;
  FollowTiming timing_;
  Core::Random random_;
  std::function<bool()> receivesFromPeers_;
  Handler handler_;
  LogSink log_;
  std::uint64_t version_ = 0;
  std::uint64_t newestRowVersion_ = 0;
  int failures_ = 0;
  /** The number of the latest request; replies to earlier ones are ignored. */
  std::uint64_t requestNumber_ = 0;
  /** True while a request for changes is pending. */
  bool isFollowing_ = false;
  /** The send time and the duration of the latest request for changes. */
  Core::Instant requestedAt_{};
  Core::Duration wait_{ 0 };
  Core::TimerHandle requestTimer_;
  Core::TimerHandle checkTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Authority
