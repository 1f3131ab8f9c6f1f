#pragma once

#include "Faults.h"

#include <LibCore/Loop.h>
#include <LibStandIn/ReplicaState.h>
#include <LibWire/HttpClient.h>

#include <deque>
#include <functional>

namespace StandIn {

/** Fetches the primary's log by long poll; delivers it after a set lag. */
class LogFollower
{
public:
  LogFollower(Core::Loop& aLoop,
              Wire::HttpClient& aClient,
              ReplicaState& aState,
              const Faults& aFaults);

  /** Sets the listener called with each batch once its lag has passed. */
  void OnBatch(std::function<void(const LogBatch&)> aListener);

  /** Follows the primary at aAddress; drops pending requests and batches. */
  void Start(const Wire::Address& aAddress);
  void Stop();

private:
  void RequestBatch();
  void ProcessReply(const Wire::HttpOutcome& aOutcome);
  void ScheduleRetry();
  void Deliver(LogBatch aBatch);
  void DeliverDue();

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  ReplicaState& state_;
  const Faults& faults_;
  std::function<void(const LogBatch&)> listener_;
  Wire::Address address_;
  /** Counts starts and stops, to drop replies to earlier requests. */
  std::uint64_t startCount_ = 0;
  /** Start of the next request: after all batches, also delayed ones. */
  std::uint64_t afterPosition_ = 0;
  Term afterTerm_ = 0;
  /** True until the primary has reported where its term began. */
  bool isFirst_ = true;
  struct DelayedBatch
  {
    Core::Instant due;
    LogBatch batch;
  };
  std::deque<DelayedBatch> delayed_;
  Core::TimerHandle timer_;
  Core::TimerHandle deliverTimer_;
};

/** Returns the JSON form in which the primary sends a batch. */
boost::json::object
BatchToJson(const LogBatch& aBatch);
LogBatch
BatchFromJson(const boost::json::object& aObject);

} // namespace StandIn
