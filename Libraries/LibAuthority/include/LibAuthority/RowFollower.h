#pragma once

#include <LibAuthority/ChangeFeed.h>
#include <LibCore/Random.h>
#include <LibCore/Scheduler.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Authority {

/** Rows of one table, as an answer of the store held them. */
struct FollowedRows
{
  /** All rows there are; else those that changed. */
  bool isSnapshot = false;
  /** A removed row has an empty value. */
  std::vector<StoredRow> rows;
  /** Changes up to this version are in them, or were before. */
  std::uint64_t version = 0;
  /** When the store was asked. */
  Core::Instant requestedAt;
};

struct FollowTiming
{
  /** How long a question waits for a change while nobody else is heard. */
  Core::Duration shortWait;
  /** The same while other nodes tell of changes. */
  Core::Duration longWait;
  /** Changes that follow each other within this come in one answer. */
  Core::Duration pause;
};

/**
 * Reads a table whole and then follows its changes, for ever. Every question
 * costs the store something, so they wait long while others would tell of a
 * change that this one misses; a connection may have gone silent.
 */
class RowFollower
{
public:
  using Handler = std::function<void(const FollowedRows&)>;
  using LogSink =
    std::function<void(std::string_view, std::string_view aTable, StoreStatus)>;

  /** aHearsOthers tells whether a missed change would be heard of. */
  RowFollower(Core::Scheduler& aScheduler,
              ChangeFeed& aFeed,
              std::string aTable,
              FollowTiming aTiming,
              Core::Random aRandom,
              std::function<bool()> aHearsOthers,
              Handler aHandler,
              LogSink aLog);
  ~RowFollower();
  RowFollower(const RowFollower&) = delete;
  RowFollower& operator=(const RowFollower&) = delete;

  void Start();

  /** The newest version among the rows that were seen. */
  std::uint64_t NewestRow() const { return newestRow_; }

  /** Others have seen a row of this version. */
  void OnSeenElsewhere(std::uint64_t aVersion);

  /** Asks now what has changed, whatever question is under way. */
  void Refresh();

private:
  /** Reads on from the key aFrom; aRows holds what was read before. */
  void ReadSnapshot(FollowedRows aRows, const std::string& aFrom);
  void OnSnapshot(FollowedRows aRows, StoreRows aAnswer);
  void Follow(Core::Duration aWait);
  void OnChanges(const StoreRows& aAnswer, Core::Instant aRequestedAt);
  Core::Duration NextWait() const;
  void Deliver(const FollowedRows& aRows);
  void CheckRequestTimeout();
  /** Notes a call without a result and tries again after a while. */
  void Retry(StoreStatus aAnswer, std::function<void()> aAgain);
  void NoteAnswer();
  /** Wraps a handler so that it does nothing once another question is asked. */
  ChangeFeed::RowsHandler Current(ChangeFeed::RowsHandler aHandler);

  Core::Scheduler& scheduler_;
  ChangeFeed& feed_;
  std::string table_;
  FollowTiming timing_;
  Core::Random random_;
  std::function<bool()> hearsOthers_;
  Handler handler_;
  LogSink log_;
  std::uint64_t version_ = 0;
  std::uint64_t newestRow_ = 0;
  int failures_ = 0;
  /** Counts the questions; answers to earlier ones are ignored. */
  std::uint64_t question_ = 0;
  /** Set while a question for changes is under way. */
  bool isFollowing_ = false;
  Core::Instant requestedAt_{};
  Core::Duration wait_{ 0 };
  Core::TimerHandle timer_;
  Core::TimerHandle check_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Authority
