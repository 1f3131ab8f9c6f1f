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
  /** False if another node passed the rows on, which may lag behind. */
  bool isFromStore = true;
};

enum class FollowEventKind
{
  /** The first request failed after requests had succeeded. */
  Lost,
  /** A request has succeeded after others had failed. */
  Regained,
  /** The store no longer has the changes that were requested. */
  HistoryGone,
  /** A request without a complete response was replaced by another one. */
  RequestReplaced,
  /** A large response has arrived completely. */
  LargeResponse,
};

inline constexpr Core::EnumNames<FollowEventKind, 5> kFollowEventNames{ {
  { { FollowEventKind::Lost, "store_lost" },
    { FollowEventKind::Regained, "store_regained" },
    { FollowEventKind::HistoryGone, "store_history_gone" },
    { FollowEventKind::RequestReplaced, "store_request_replaced" },
    { FollowEventKind::LargeResponse, "store_large_response" } },
} };

/** What happened to the requests for a table's rows, for logs and metrics. */
struct FollowEvent
{
  FollowEventKind kind = FollowEventKind::Lost;
  std::string_view table;
  /** The status of the request; NoAnswer if it was replaced. */
  StoreStatus status = StoreStatus::NoAnswer;
  /** The time since the request was sent. */
  Core::Duration age{ 0 };
  /** Bytes of its response that had arrived by then. */
  std::size_t receivedBytes = 0;
};

struct FollowTiming
{
  /** The duration of a long poll without updates from peers. */
  Core::Duration shortWait;
  /** The duration of a long poll while peers report changes. */
  Core::Duration longWait;
  /** The delay before the next poll after a change, to batch changes. */
  Core::Duration pause;
  /**
   * The interval between polls while changes keep coming. When a whole fleet
   * restarts, each node is told of the rows of all others, so that the requests
   * would grow with the square of the fleet.
   */
  Core::Duration busyInterval;
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
  using EventSink = std::function<void(const FollowEvent&)>;

  /** What the follower asks its owner. */
  struct Conditions
  {
    /** True while peers would report a change that this node misses. */
    std::function<bool()> receivesFromPeers;
    /** True while changes must not wait for the busy interval. */
    std::function<bool()> mustBePrompt;
  };

  RowFollower(Core::Scheduler& aScheduler,
              ChangeFeed& aFeed,
              std::string aTable,
              FollowTiming aTiming,
              Core::Random aRandom,
              Conditions aConditions,
              Handler aHandler,
              EventSink aOnEvent);
  RowFollower(const RowFollower&) = delete;
  RowFollower& operator=(const RowFollower&) = delete;

  /** Begins with a snapshot; to be called once. */
  void Start();

  /** The newest version among all rows received so far. */
  std::uint64_t NewestRowVersion() const { return newestRowVersion_; }

  /**
   * Reports that a peer has received a row of this version. Replaces a pending
   * long poll that should have returned that row and of whose response nothing
   * has arrived.
   */
  void OnSeenByPeer(std::uint64_t aVersion);

  /** Requests changes immediately, replacing a pending long poll or a pause. */
  void Refresh();

  /** Responses from this size on are reported: they delay other traffic. */
  static constexpr std::size_t kLargeResponseBytes = 65536;

  /** The polls that may follow changes promptly, after a quiet time. */
  static constexpr int kMaxPromptPolls = 4;

private:
  /** Reads the next page, from the key aFrom; aRows holds earlier pages. */
  void ReadSnapshot(FollowedRows aRows, const std::string& aFrom);
  void OnSnapshot(FollowedRows aRows, StoreRows aReply);
  void Follow(Core::Duration aWait);
  void OnChanges(const StoreRows& aReply, Core::Instant aRequestedAt);
  Core::Duration NextWait() const;
  /** The delay before the next poll after changes have been received. */
  Core::Duration PauseAfterChanges();
  void PauseAndFollow();
  void Deliver(const FollowedRows& aRows);
  /** Replaces a pending long poll by a short one if peers no longer report. */
  void CheckRequestTimeout();
  /** Counts a failed request and runs aRetry after a back-off delay. */
  void Retry(const StoreRows& aReply, std::function<void()> aRetry);
  void ResetFailures();
  /** Notes a complete response. */
  void OnSuccess(const StoreRows& aReply);
  void ReportEvent(FollowEventKind aKind,
                   StoreStatus aStatus,
                   std::size_t aReceivedBytes);
  /**
   * True while a long poll is pending of whose response nothing has arrived.
   * Only such a request may be replaced. A response that is arriving would
   * otherwise be requested again before it is complete, and one that takes
   * longer than the interval between replacements would never be received.
   */
  bool IsPollIdle() const;

  Core::Scheduler& scheduler_;
  ChangeFeed& feed_;
  std::string table_;
  FollowTiming timing_;
  Core::Random random_;
  Conditions conditions_;
  Handler handler_;
  EventSink onEvent_;
  std::uint64_t version_ = 0;
  std::uint64_t newestRowVersion_ = 0;
  /** Polls that may follow after the short pause; one is gained each busy
   * interval, counted from gainedAt_. */
  int promptPolls_ = kMaxPromptPolls;
  Core::Instant gainedAt_{};
  int failures_ = 0;
  /** True if no changes have been received since the history was gone. */
  bool wasHistoryGone_ = false;
  /** True while a request for changes is pending. */
  bool isFollowing_ = false;
  /** True during the pause after changes have been received. */
  bool isPausing_ = false;
  /** The latest request. */
  std::unique_ptr<PendingRequest> pending_;
  /** When the latest request was sent. */
  Core::Instant requestedAt_{};
  /** The duration of the latest long poll. */
  Core::Duration wait_{ 0 };
  Core::TimerHandle requestTimer_;
  Core::TimerHandle checkTimer_;
};

} // namespace Authority
