#include "StreamRun.h"

#include <algorithm>
#include <utility>

namespace Bench {

namespace {

constexpr Core::Duration kPeriod = std::chrono::milliseconds(10);
constexpr Core::Duration kTimeBeforeEvent = std::chrono::milliseconds(1500);
constexpr Core::Duration kDrainTime = std::chrono::milliseconds(3000);
constexpr std::int64_t kDeadlineMs = 2000;
constexpr std::int64_t kMaxAgeMs = 60'000;

} // namespace

StreamRun::StreamRun(Core::Loop& aLoop, CallerClient& aClient)
  : loop_(aLoop)
  , client_(aClient)
  , health_(aLoop, aClient)
  , random_(Core::Random::FromSystem())
  , prefix_("s" + random_.Hex(6) + "-")
{
}

void
StreamRun::Start(const std::string& aDatabase,
                 std::function<void()> aEvent,
                 Core::Duration aAfter,
                 std::function<void(StreamResult)> aDone)
{
  database_ = aDatabase;
  result_ = {};
  lastAck_.clear();
  eventAt_.reset();
  sendTimer_ = loop_.Every(kPeriod, [this] { SendAll(); });
  stepTimer_ = loop_.After(
    kTimeBeforeEvent,
    [this, aAfter, event = std::move(aEvent), done = std::move(aDone)] {
      eventAt_ = loop_.Now();
      event();
      stepTimer_ = loop_.After(aAfter, [this, done] {
        sendTimer_.reset();
        stepTimer_ = loop_.After(kDrainTime, [this, done] { done(result_); });
      });
    });
}

void
StreamRun::SendAll()
{
  for (const std::string& group : client_.Fleet().Groups()) {
    Send(group, true);
    Send(group, false);
  }
}

void
StreamRun::Send(const std::string& aGroup, bool aIsWrite)
{
  const bool isQuebec = client_.Fleet().preset == "quebec";
  CallerStatement statement;
  statement.group = aGroup;
  statement.requestId = prefix_ + std::to_string(++lastId_);
  statement.deadlineMs = kDeadlineMs;
  statement.isWrite = aIsWrite;
  if (aIsWrite) {
    statement.sql = isQuebec ? "INSERT INTO bookings VALUES(?, 'd', 'h')"
                             : "INSERT INTO fees VALUES(?, 1)";
    statement.parameters = { statement.requestId };
  } else {
    statement.sql = "SELECT 1";
    statement.maxAgeMs = kMaxAgeMs;
  }
  client_.Send(health_.Pick(random_),
               statement,
               [this, aGroup, aIsWrite, sentAt = loop_.Now()](
                 const CallerResponse& aResponse) {
                 HandleResponse(aGroup, aIsWrite, sentAt, aResponse);
               });
}

void
StreamRun::HandleResponse(const std::string& aGroup,
                          bool aIsWrite,
                          Core::Instant aSentAt,
                          const CallerResponse& aResponse)
{
  ++result_.responses;
  if (aResponse.end == CallEnd::Lost)
    ++result_.cutOff;
  const bool isObserved = eventAt_ && !database_.empty() &&
                          aResponse.endpoint == database_ &&
                          aSentAt > *eventAt_;
  if (isObserved)
    result_.lastWork = std::max(result_.lastWork.value_or(Core::Duration(0)),
                                aSentAt - *eventAt_);
  if (!aIsWrite || aResponse.end != CallEnd::Ok)
    return;
  const auto last = lastAck_.find(aGroup);
  if (last != lastAck_.end() && eventAt_)
    result_.longestGap =
      std::max(result_.longestGap, loop_.Now() - last->second);
  lastAck_[aGroup] = loop_.Now();
}

} // namespace Bench
