#pragma once

#include "HealthWatch.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Bench {

/** What came of a steady stream of requests while something happened. */
struct StreamResult
{
  std::uint64_t answers = 0;
  /** Requests that got no answer though they had left. */
  std::uint64_t cutOff = 0;
  /** The longest time between two acknowledged writes of one group. */
  Core::Duration longestGap{ 0 };
  /** When the last request that the watched database served was sent. */
  std::optional<Core::Duration> lastWork;
};

/**
 * A steady stream of writes and reads to every group, through nodes that show
 * themselves fit, around an event: a planned stop, or a database that leaves.
 */
class StreamRun
{
public:
  StreamRun(Core::Loop& aLoop, CallerClient& aClient);

  /**
   * Streams, runs aEvent, streams on for aAfter, and ends. Work of aDatabase
   * (which may be empty) is timed from the event on.
   */
  void Start(const std::string& aDatabase,
             std::function<void()> aEvent,
             Core::Duration aAfter,
             std::function<void(StreamResult)> aDone);

private:
  void SendAll();
  void Send(const std::string& aGroup, bool aIsWrite);
  void Take(const std::string& aGroup,
            bool aIsWrite,
            Core::Instant aSentAt,
            const CallerAnswer& aAnswer);

  Core::Loop& loop_;
  CallerClient& client_;
  HealthWatch health_;
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
