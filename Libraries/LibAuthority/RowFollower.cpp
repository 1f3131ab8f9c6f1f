#include <LibAuthority/RowFollower.h>

#include <algorithm>
#include <utility>

namespace Authority {

namespace {

/** The retry delay after the first failure; it doubles up to the maximum. */
constexpr Core::Duration kRetryDelay = std::chrono::milliseconds(60);
constexpr Core::Duration kMaxRetryDelay = std::chrono::milliseconds(600);

/** How often to check that peers still report changes during a long poll. */
constexpr Core::Duration kCheckInterval = std::chrono::milliseconds(200);

/**
 * The response with a change that peers have seen begins within a round trip. A
 * longer delay indicates a broken connection.
 */
constexpr Core::Duration kResponseTimeout = std::chrono::milliseconds(500);

std::uint64_t
NewestOf(const std::vector<StoredRow>& aRows)
{
  std::uint64_t newest = 0;
  for (const StoredRow& row : aRows)
    newest = std::max(newest, row.version);
  return newest;
}

} // namespace

RowFollower::RowFollower(Core::Scheduler& aScheduler,
                         ChangeFeed& aFeed,
                         std::string aTable,
                         FollowTiming aTiming,
                         Core::Random aRandom,
                         Conditions aConditions,
                         Handler aHandler,
                         EventSink aOnEvent)
  : scheduler_(aScheduler)
  , feed_(aFeed)
  , table_(std::move(aTable))
  , timing_(aTiming)
  , random_(aRandom)
  , conditions_(std::move(aConditions))
  , handler_(std::move(aHandler))
  , onEvent_(std::move(aOnEvent))
{
}

void
RowFollower::Start()
{
  checkTimer_ =
    scheduler_.Every(kCheckInterval, [this] { CheckRequestTimeout(); });
  ReadSnapshot({}, {});
}

void
RowFollower::ReadSnapshot(FollowedRows aRows, const std::string& aFrom)
{
  isFollowing_ = false;
  requestedAt_ = scheduler_.Now();
  if (aRows.rows.empty())
    aRows.requestedAt = requestedAt_;
  pending_ = feed_.ReadRows(
    table_, aFrom, [this, rows = std::move(aRows)](StoreRows aReply) {
      OnSnapshot(rows, std::move(aReply));
    });
}

void
RowFollower::OnSnapshot(FollowedRows aRows, StoreRows aReply)
{
  if (aReply.answer != StoreStatus::Done) {
    Retry(aReply, [this] { ReadSnapshot({}, {}); });
    return;
  }
  OnSuccess(aReply);
  // Later pages may be newer than the first one. Following starts at the first
  // page's version, so that no change in between is missed.
  if (aRows.rows.empty())
    aRows.version = aReply.version;
  std::move(
    aReply.rows.begin(), aReply.rows.end(), std::back_inserter(aRows.rows));
  if (aReply.hasMore && !aRows.rows.empty()) {
    const std::string next = aRows.rows.back().key + '\x01';
    ReadSnapshot(std::move(aRows), next);
    return;
  }
  aRows.isSnapshot = true;
  aRows.isFromStore = aReply.isFromStore;
  Deliver(aRows);
  Follow(NextWait());
}

void
RowFollower::Deliver(const FollowedRows& aRows)
{
  // A snapshot holds whatever the store has now, so following starts there even
  // if the version is lower than before.
  version_ =
    aRows.isSnapshot ? aRows.version : std::max(version_, aRows.version);
  newestRowVersion_ = std::max(newestRowVersion_, NewestOf(aRows.rows));
  handler_(aRows);
}

Core::Duration
RowFollower::NextWait() const
{
  // After a failure, request an immediate reply to detect the recovery soon.
  if (failures_ > 0)
    return Core::Duration::zero();
  return conditions_.receivesFromPeers() ? timing_.longWait : timing_.shortWait;
}

void
RowFollower::PauseAndFollow()
{
  isPausing_ = true;
  requestTimer_ =
    scheduler_.After(PauseAfterChanges(), [this] { Follow(NextWait()); });
}

Core::Duration
RowFollower::PauseAfterChanges()
{
  if (conditions_.mustBePrompt())
    return timing_.pause;
  const Core::Instant now = scheduler_.Now();
  const auto gained =
    std::max<Core::Duration::rep>((now - gainedAt_) / timing_.busyInterval, 0);
  gainedAt_ += gained * timing_.busyInterval;
  promptPolls_ = static_cast<int>(
    std::min<Core::Duration::rep>(promptPolls_ + gained, kMaxPromptPolls));
  if (promptPolls_ > 0) {
    --promptPolls_;
    return timing_.pause;
  }
  // The poll after this pause takes the one that is gained by then.
  gainedAt_ += timing_.busyInterval;
  return std::max<Core::Duration>(timing_.pause, gainedAt_ - now);
}

void
RowFollower::Follow(Core::Duration aWait)
{
  if (isFollowing_)
    ReportEvent(FollowEventKind::RequestReplaced,
                StoreStatus::NoAnswer,
                pending_->ReceivedBytes());
  // Cancelled first, so that its response takes no bandwidth from the next one.
  pending_.reset();
  requestTimer_.reset();
  isPausing_ = false;
  isFollowing_ = true;
  requestedAt_ = scheduler_.Now();
  wait_ = aWait;
  pending_ =
    feed_.AwaitChanges(table_,
                       version_,
                       aWait,
                       [this, requestedAt = requestedAt_](const auto& aReply) {
                         OnChanges(aReply, requestedAt);
                       });
}

void
RowFollower::OnChanges(const StoreRows& aReply, Core::Instant aRequestedAt)
{
  isFollowing_ = false;
  switch (aReply.answer) {
    case StoreStatus::Done:
      OnSuccess(aReply);
      wasHistoryGone_ = false;
      Deliver({ false,
                aReply.rows,
                std::max(version_, aReply.version),
                aRequestedAt,
                aReply.isFromStore });
      if (aReply.rows.empty())
        Follow(NextWait());
      else
        PauseAndFollow();
      return;
    case StoreStatus::HistoryGone:
      ReportEvent(
        FollowEventKind::HistoryGone, aReply.answer, aReply.receivedBytes);
      // A pause limits the reads of a store that never has the history.
      if (std::exchange(wasHistoryGone_, true))
        requestTimer_ =
          scheduler_.After(timing_.pause, [this] { ReadSnapshot({}, {}); });
      else
        ReadSnapshot({}, {});
      return;
    case StoreStatus::Conflict:
    case StoreStatus::Refused:
    case StoreStatus::NoAnswer:
      Retry(aReply, [this] { Follow(NextWait()); });
  }
}

bool
RowFollower::IsPollIdle() const
{
  return isFollowing_ && wait_ > Core::Duration::zero() &&
         pending_->ReceivedBytes() == 0;
}

void
RowFollower::CheckRequestTimeout()
{
  if (IsPollIdle() && wait_ > timing_.shortWait &&
      !conditions_.receivesFromPeers())
    Follow(timing_.shortWait);
}

void
RowFollower::OnSeenByPeer(std::uint64_t aVersion)
{
  const bool isOverdue = scheduler_.Now() - requestedAt_ > kResponseTimeout;
  if (aVersion > newestRowVersion_ && isOverdue && IsPollIdle())
    Follow(Core::Duration::zero());
}

void
RowFollower::Refresh()
{
  if (IsPollIdle() || isPausing_)
    Follow(Core::Duration::zero());
}

void
RowFollower::ResetFailures()
{
  if (failures_ > 0)
    ReportEvent(FollowEventKind::Regained, StoreStatus::Done, 0);
  failures_ = 0;
}

void
RowFollower::OnSuccess(const StoreRows& aReply)
{
  ResetFailures();
  if (aReply.receivedBytes >= kLargeResponseBytes)
    ReportEvent(
      FollowEventKind::LargeResponse, aReply.answer, aReply.receivedBytes);
}

void
RowFollower::ReportEvent(FollowEventKind aKind,
                         StoreStatus aStatus,
                         std::size_t aReceivedBytes)
{
  onEvent_({ aKind,
             table_,
             aStatus,
             scheduler_.Now() - requestedAt_,
             aReceivedBytes });
}

void
RowFollower::Retry(const StoreRows& aReply, std::function<void()> aRetry)
{
  if (++failures_ == 1)
    ReportEvent(FollowEventKind::Lost, aReply.answer, aReply.receivedBytes);
  const Core::Duration longest = std::min<Core::Duration>(
    kRetryDelay * (1 << std::min(failures_ - 1, 8)), kMaxRetryDelay);
  // Half of the delay is random, so that nodes do not retry all at once.
  const auto half = static_cast<std::uint64_t>(longest.count() / 2);
  const Core::Duration delay(
    static_cast<long long>(half + random_.Below(half + 1)));
  requestTimer_ = scheduler_.After(delay, std::move(aRetry));
}

} // namespace Authority
