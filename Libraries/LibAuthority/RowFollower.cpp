#include <LibAuthority/RowFollower.h>

#include <algorithm>
#include <utility>

namespace Authority {

namespace {

/** The first wait after a failure, and the longest. */
constexpr Core::Duration kRetryDelay = std::chrono::milliseconds(60);
constexpr Core::Duration kMaxRetryDelay = std::chrono::milliseconds(600);

/** How often it is looked at whether others are still heard. */
constexpr Core::Duration kCheckInterval = std::chrono::milliseconds(200);

/** An answer that says nothing new takes a round trip; more is a sign. */
constexpr Core::Duration kAnswerPatience = std::chrono::milliseconds(500);

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
                         std::function<bool()> aHearsOthers,
                         Handler aHandler,
                         LogSink aLog)
  : scheduler_(aScheduler)
  , feed_(aFeed)
  , table_(std::move(aTable))
  , timing_(aTiming)
  , random_(aRandom)
  , hearsOthers_(std::move(aHearsOthers))
  , handler_(std::move(aHandler))
  , log_(std::move(aLog))
{
}

RowFollower::~RowFollower()
{
  *alive_ = false;
}

void
RowFollower::Start()
{
  check_ = scheduler_.Every(kCheckInterval, [this] { CheckRequestTimeout(); });
  ReadSnapshot({}, {});
}

ChangeFeed::RowsHandler
RowFollower::Current(ChangeFeed::RowsHandler aHandler)
{
  return [this,
          alive = alive_,
          question = ++question_,
          handler = std::move(aHandler)](StoreRows aAnswer) {
    if (*alive && question == question_)
      handler(std::move(aAnswer));
  };
}

void
RowFollower::ReadSnapshot(FollowedRows aRows, const std::string& aFrom)
{
  isFollowing_ = false;
  if (aRows.rows.empty())
    aRows.requestedAt = scheduler_.Now();
  feed_.ReadRows(
    table_, aFrom, Current([this, rows = std::move(aRows)](StoreRows aAnswer) {
      OnSnapshot(rows, std::move(aAnswer));
    }));
}

void
RowFollower::OnSnapshot(FollowedRows aRows, StoreRows aAnswer)
{
  if (aAnswer.answer != StoreStatus::Done) {
    Retry(aAnswer.answer, [this] { ReadSnapshot({}, {}); });
    return;
  }
  NoteAnswer();
  // Later pages may be younger; the changes since the first one follow.
  if (aRows.rows.empty())
    aRows.version = aAnswer.version;
  std::move(
    aAnswer.rows.begin(), aAnswer.rows.end(), std::back_inserter(aRows.rows));
  if (aAnswer.hasMore && !aRows.rows.empty()) {
    const std::string next = aRows.rows.back().key + '\x01';
    ReadSnapshot(std::move(aRows), next);
    return;
  }
  aRows.isSnapshot = true;
  Deliver(aRows);
  Follow(NextWait());
}

void
RowFollower::Deliver(const FollowedRows& aRows)
{
  version_ = std::max(version_, aRows.version);
  newestRow_ = std::max(newestRow_, NewestOf(aRows.rows));
  handler_(aRows);
}

Core::Duration
RowFollower::NextWait() const
{
  // After a failure a quick answer counts, so that an end of the trouble is
  // noticed soon.
  if (failures_ > 0)
    return Core::Duration::zero();
  return hearsOthers_() ? timing_.longWait : timing_.shortWait;
}

void
RowFollower::Follow(Core::Duration aWait)
{
  isFollowing_ = true;
  requestedAt_ = scheduler_.Now();
  wait_ = aWait;
  feed_.AwaitChanges(
    table_,
    version_,
    aWait,
    Current([this, requestedAt = requestedAt_](const auto& aAnswer) {
      OnChanges(aAnswer, requestedAt);
    }));
}

void
RowFollower::OnChanges(const StoreRows& aAnswer, Core::Instant aRequestedAt)
{
  isFollowing_ = false;
  switch (aAnswer.answer) {
    case StoreStatus::Done:
      NoteAnswer();
      Deliver({ false,
                aAnswer.rows,
                std::max(version_, aAnswer.version),
                aRequestedAt });
      if (aAnswer.rows.empty())
        Follow(NextWait());
      else
        timer_ =
          scheduler_.After(timing_.pause, [this] { Follow(NextWait()); });
      return;
    case StoreStatus::HistoryGone:
      log_("store_history_gone", table_, aAnswer.answer);
      ReadSnapshot({}, {});
      return;
    case StoreStatus::Conflict:
    case StoreStatus::Refused:
    case StoreStatus::NoAnswer:
      Retry(aAnswer.answer, [this] { Follow(NextWait()); });
  }
}

void
RowFollower::CheckRequestTimeout()
{
  if (!isFollowing_ || wait_ <= timing_.shortWait || hearsOthers_())
    return;
  Follow(timing_.shortWait);
}

void
RowFollower::OnSeenElsewhere(std::uint64_t aVersion)
{
  const bool hasAnswerTime =
    scheduler_.Now() - requestedAt_ > kAnswerPatience && isFollowing_;
  if (aVersion > newestRow_ && hasAnswerTime)
    Follow(Core::Duration::zero());
}

void
RowFollower::Refresh()
{
  if (isFollowing_ && wait_ > Core::Duration::zero())
    Follow(Core::Duration::zero());
}

void
RowFollower::NoteAnswer()
{
  if (failures_ > 0)
    log_("store_regained", table_, StoreStatus::Done);
  failures_ = 0;
}

void
RowFollower::Retry(StoreStatus aAnswer, std::function<void()> aAgain)
{
  if (++failures_ == 1)
    log_("store_lost", table_, aAnswer);
  const Core::Duration longest = std::min<Core::Duration>(
    kRetryDelay * (1 << std::min(failures_ - 1, 8)), kMaxRetryDelay);
  // Half of the delay is random, so that nodes don't come back all at once.
  const auto half = static_cast<std::uint64_t>(longest.count() / 2);
  const Core::Duration delay(
    static_cast<long long>(half + random_.Below(half + 1)));
  timer_ = scheduler_.After(delay, std::move(aAgain));
}

} // namespace Authority
