#pragma once

#include <LibStandIn/ReplicaState.h>

#include <fstream>

namespace StandIn {

/** A replica's promises and log in one append-only file. */
class LogFile final : public ReplicaStorage
{
public:
  /** What a file held when it was opened. */
  struct Contents
  {
    ReplicaMeta meta;
    std::vector<LogEntry> log;
    bool existed = false;
  };

  /** Reads aPath, if it is there, and opens it for appending. */
  static Contents Open(const std::string& aPath, LogFile& aFile);

  void SaveMeta(const ReplicaMeta& aMeta) override;
  void Append(const LogEntry& aEntry) override;
  void CutTo(std::uint64_t aPosition) override;

private:
  std::ofstream file_;
};

} // namespace StandIn
