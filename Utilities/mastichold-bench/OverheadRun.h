#pragma once

#include "CallerClient.h"

#include <LibEndpoint/EndpointLink.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bench {

/** Times of small reads, one at a time, over three ways to one database. */
struct OverheadResult
{
  std::vector<Core::Duration> direct;
  std::vector<Core::Duration> atHome;
  std::vector<Core::Duration> withHop;
  /** Reads answered in the crowded part, and the home's processor time. */
  std::uint64_t crowdReads = 0;
  Core::Duration crowdTime{ 0 };
  Core::Duration crowdProcessor{ 0 };
};

/** Compares reads through a proxy with reads of the database itself. */
class OverheadRun
{
public:
  OverheadRun(Core::Loop& aLoop, CallerClient& aClient, int aReads);
  void Start(std::function<void(OverheadResult)> aDone);

private:
  void ConnectDirect();
  void ReadDirect();
  void ReadThrough(std::size_t aNode, std::vector<Core::Duration>& aTimes);
  void NextRound();
  void StartCrowd();
  void CrowdRead();

  Core::Loop& loop_;
  CallerClient& client_;
  int left_;
  std::string group_;
  std::size_t home_ = 0;
  std::size_t other_ = 0;
  std::unique_ptr<Wire::HttpConnection> connection_;
  std::uint64_t exchange_ = 0;
  OverheadResult result_;
  std::function<void(OverheadResult)> done_;
  Core::Instant crowdStart_;
  Core::Duration crowdProcessorStart_{ 0 };
  bool isCrowdOver_ = false;
  Core::TimerHandle timer_;
};

/** The processor time that a process has used, from the system's counters. */
Core::Duration
ProcessorTimeOf(pid_t aProcess);
/** Resident memory in KiB. */
std::int64_t
ResidentMemoryOf(pid_t aProcess);

} // namespace Bench
