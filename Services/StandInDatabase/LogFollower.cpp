#include "LogFollower.h"

#include <utility>

namespace StandIn {

namespace {

constexpr Core::Duration kPollTimeout = std::chrono::milliseconds(700);
constexpr Core::Duration kRetryDelay = std::chrono::milliseconds(20);

} // namespace

boost::json::object
BatchToJson(const LogBatch& aBatch)
{
  boost::json::array entries;
  for (const LogEntry& entry : aBatch.entries)
    entries.push_back(boost::json::array{ entry.term, entry.payload });
  return { { "term", aBatch.term },
           { "promoted_at", aBatch.promotedAt },
           { "after_position", aBatch.afterPosition },
           { "after_term", aBatch.afterTerm },
           { "matched", aBatch.matched },
           { "retry_from", aBatch.retryFrom },
           { "entries", std::move(entries) } };
}

LogBatch
BatchFromJson(const boost::json::object& aObject)
{
  LogBatch batch;
  batch.term = aObject.at("term").to_number<Term>();
  batch.promotedAt = aObject.at("promoted_at").to_number<std::uint64_t>();
  batch.afterPosition = aObject.at("after_position").to_number<std::uint64_t>();
  batch.afterTerm = aObject.at("after_term").to_number<Term>();
  batch.matched = aObject.at("matched").as_bool();
  batch.retryFrom = aObject.at("retry_from").to_number<std::uint64_t>();
  for (const boost::json::value& item : aObject.at("entries").as_array()) {
    const boost::json::array& pair = item.as_array();
    batch.entries.push_back(
      { pair[0].to_number<Term>(), std::string(pair[1].as_string()) });
  }
  return batch;
}

LogFollower::LogFollower(Core::Loop& aLoop,
                         Wire::HttpClient& aClient,
                         ReplicaState& aState,
                         const Faults& aFaults)
  : loop_(aLoop)
  , client_(aClient)
  , state_(aState)
  , faults_(aFaults)
{
}

void
LogFollower::OnBatch(std::function<void(const LogBatch&)> aListener)
{
  listener_ = std::move(aListener);
}

void
LogFollower::Start(const Wire::Address& aAddress)
{
  Stop();
  address_ = aAddress;
  isFirst_ = true;
  afterPosition_ = state_.Log().position;
  afterTerm_ = state_.TermAt(afterPosition_);
  RequestBatch();
}

void
LogFollower::Stop()
{
  ++startCount_;
  delayed_.clear();
  timer_.reset();
  deliverTimer_.reset();
}

void
LogFollower::RequestBatch()
{
  if (faults_.CutsOffPeer(state_.Primary())) {
    ScheduleRetry();
    return;
  }
  Wire::HttpCall call;
  call.target =
    "/v1/control/log?term=" + std::to_string(state_.Meta().promised) +
    "&after_position=" + std::to_string(afterPosition_) +
    "&after_term=" + std::to_string(afterTerm_) + (isFirst_ ? "&first=1" : "");
  call.timeout = kPollTimeout;
  client_.Call(
    address_,
    call,
    [this, startCount = startCount_](const Wire::HttpOutcome& aOutcome) {
      if (startCount == startCount_)
        ProcessReply(aOutcome);
    });
}

void
LogFollower::ProcessReply(const Wire::HttpOutcome& aOutcome)
{
  boost::system::error_code error;
  const boost::json::value body =
    boost::json::parse(aOutcome.answer.body, error);
  if (!aOutcome.IsOk() || error || faults_.CutsOffPeer(state_.Primary())) {
    ScheduleRetry();
    return;
  }
  LogBatch batch = BatchFromJson(body.as_object());
  if (batch.matched) {
    isFirst_ = false;
    afterPosition_ += batch.entries.size();
    if (!batch.entries.empty())
      afterTerm_ = batch.entries.back().term;
    Deliver(std::move(batch));
  } else {
    // The delayed batches follow the position that did not match.
    delayed_.clear();
    afterPosition_ = batch.retryFrom;
    afterTerm_ = state_.TermAt(afterPosition_);
  }
  RequestBatch();
}

void
LogFollower::ScheduleRetry()
{
  timer_ = loop_.After(kRetryDelay, [this] { RequestBatch(); });
}

void
LogFollower::Deliver(LogBatch aBatch)
{
  delayed_.push_back(
    { loop_.Now() + faults_.ReplicationLag(), std::move(aBatch) });
  DeliverDue();
}

void
LogFollower::DeliverDue()
{
  while (!delayed_.empty() && delayed_.front().due <= loop_.Now()) {
    const LogBatch batch = std::move(delayed_.front().batch);
    delayed_.pop_front();
    listener_(batch);
  }
  if (!delayed_.empty())
    deliverTimer_ =
      loop_.After(delayed_.front().due - loop_.Now(), [this] { DeliverDue(); });
}

} // namespace StandIn
