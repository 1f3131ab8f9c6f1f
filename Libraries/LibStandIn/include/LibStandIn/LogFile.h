#pragma once

#include <LibStandIn/ReplicaState.h>

#include <fstream>

namespace StandIn {

/** Stores a replica's metadata and log in one append-only file. */
class LogFile final : public ReplicaStorage
{
public:
  /** The state read from a file when it was opened. */
  struct Contents
  {
    ReplicaMeta meta;
    std::vector<LogEntry> log;
    /** False if there was no readable file. */
    bool existed = false;
  };

  /** Reads aPath, if it exists, and opens it in aFile for appending. */
  static Contents Open(const std::string& aPath, LogFile& aFile);

  void SaveMeta(const ReplicaMeta& aMeta) override;
  void Append(const LogEntry& aEntry) override;
  void TruncateTo(std::uint64_t aPosition) override;

private:
  std::ofstream file_;
};

} // namespace StandIn
