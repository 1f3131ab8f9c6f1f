#pragma once

#include "HealthMonitor.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Bench {

/** Results of a steady stream of requests around an event. */
struct StreamResult
{
  std::uint64_t responses = 0;
  /** Requests that were sent but got no valid response. */
  std::uint64_t cutOff = 0;
  /** Longest time between two acknowledged writes of one group. */
  Core::Duration longestGap{ 0 };
  /**
   * Time from the event to the sending of the last request that the observed
   * database served; absent when it served none.
   */
  std::optional<Core::Duration> lastWork;
};

/**
 * Sends a steady stream of writes and reads to every group, through healthy
 * nodes, before and after an event: a planned stop, or a database that leaves.
 */
class StreamRun
{
public:
  StreamRun(Core::Loop& aLoop, CallerClient& aClient);

  /**
   * Sends requests, runs aEvent, continues for aAfter, and passes the result to
   * aDone. Requests served by aDatabase (may be empty) are timed from the event
   * on.
   */
  void Start(const std::string& aDatabase,
             std::function<void()> aEvent,
             Core::Duration aAfter,
             std::function<void(StreamResult)> aDone);

private:
  void SendAll();
  void Send(const std::string& aGroup, bool aIsWrite);
  void HandleResponse(const std::string& aGroup,
                      bool aIsWrite,
                      Core::Instant aSentAt,
                      const CallerResponse& aResponse);

  Core::Loop& loop_;
  CallerClient& client_;
  HealthMonitor health_;
  Core::Random random_;
  std::string prefix_;
  std::uint64_t lastId_ = 0;
  std::string database_;
  std::optional<Core::Instant> eventAt_;
  std::map<std::string, Core::Instant> lastAck_;
  StreamResult result_;
  Core::TimerHandle sendTimer_;
  Core::TimerHandle stepTimer_;
};

} // namespace Bench
