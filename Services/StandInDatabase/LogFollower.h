#pragma once

#include "Faults.h"

#include <LibCore/Loop.h>
#include <LibStandIn/ReplicaState.h>
#include <LibWire/HttpClient.h>

#include <deque>
#include <functional>

namespace StandIn {

/** Pulls the primary's log by long poll and hands it over after the lag. */
class LogFollower
{
public:
  LogFollower(Core::Loop& aLoop,
              Wire::HttpClient& aClient,
              ReplicaState& aState,
              const Faults& aFaults);

  /** Called with each batch when it is due. */
  void OnBatch(std::function<void(const LogBatch&)> aListener);

  /** Follows the primary at aAddress; what was underway is dropped. */
  void Start(const Wire::Address& aAddress);
  void Stop();

private:
  void Ask();
  void TakeAnswer(const Wire::HttpOutcome& aOutcome);
  void Retry();
  void Deliver(LogBatch aBatch);
  void DeliverDue();

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  ReplicaState& state_;
  const Faults& faults_;
  std::function<void(const LogBatch&)> listener_;
  Wire::Address address_;
  /** Counts starts, so that answers to an earlier one are dropped. */
  std::uint64_t round_ = 0;
  /** Where the next request starts: past what was got but is held back. */
  std::uint64_t afterPosition_ = 0;
  Term afterTerm_ = 0;
  /** True until the primary has said where its term began. */
  bool isFirst_ = true;
  struct Held
  {
    Core::Instant due;
    LogBatch batch;
  };
  std::deque<Held> held_;
  Core::TimerHandle timer_;
  Core::TimerHandle deliverTimer_;
};

/** A batch's JSON form, as the primary sends it. */
boost::json::object
BatchToJson(const LogBatch& aBatch);
LogBatch
BatchFromJson(const boost::json::object& aObject);

} // namespace StandIn
