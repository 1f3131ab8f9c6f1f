#pragma once

#include "CallerClient.h"

#include <LibEndpoint/EndpointLink.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bench {

/** Round trips of small sequential reads over three paths to one database. */
struct OverheadResult
{
  std::vector<Core::Duration> direct;
  std::vector<Core::Duration> atHome;
  std::vector<Core::Duration> withHop;
  /**
   * Successful reads of the concurrent phase, its duration, and the processor
   * time that the proxy of the home used.
   */
  std::uint64_t concurrentReads = 0;
  Core::Duration concurrentTime{ 0 };
  Core::Duration concurrentProcessorTime{ 0 };
};

/**
 * Compares reads through a proxy, at the home of the group and forwarded to it,
 * with direct reads of the database. Then measures the processor time of
 * concurrent reads.
 */
class OverheadRun
{
public:
  OverheadRun(Core::Loop& aLoop, CallerClient& aClient, int aReads);
  void Start(std::function<void(OverheadResult)> aDone);

private:
  void ConnectDirect();
  void ReadDirect();
  void ReadThroughProxy(std::size_t aNode, std::vector<Core::Duration>& aTimes);
  void NextRound();
  void StartConcurrentReads();
  void SendConcurrentRead();

  Core::Loop& loop_;
  CallerClient& client_;
  int remainingReads_;
  std::string group_;
  std::size_t home_ = 0;
  std::size_t other_ = 0;
  std::unique_ptr<Wire::HttpConnection> connection_;
  std::uint64_t exchange_ = 0;
  OverheadResult result_;
  std::function<void(OverheadResult)> done_;
  Core::Instant concurrentStart_;
  Core::Duration concurrentProcessorStart_{ 0 };
  bool isConcurrentOver_ = false;
  Core::TimerHandle timer_;
};

/** Returns the user and system time of a process, from /proc/PID/stat. */
Core::Duration
ProcessorTimeOf(pid_t aProcess);
/** Returns the resident memory of a process in KiB; 0 when unavailable. */
std::int64_t
ResidentMemoryOf(pid_t aProcess);

} // namespace Bench
