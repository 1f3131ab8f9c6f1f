#pragma once

#include <LibCore/Loop.h>
#include <LibSession/LogPosition.h>
#include <LibWire/LineConnection.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace StandIns {

class DatabaseSession;

/** One committed write in a group's log. */
struct LogEntry
{
  Session::Term term = 0;
  std::string item;
  std::string data;
};

/** An in-process test database that serves the platform's line protocol. */
class StandInDatabase
{
public:
  StandInDatabase(Core::Loop& aLoop, std::string aGroup, std::string aId);
  ~StandInDatabase();

  /** Listens on loopback; returns the address. */
  Wire::Address Start();
  /** Stops listening and drops all connections, as a killed process. */
  void Kill();

  const std::string& Id() const { return id_; }
  Session::LogPosition Position() const;
  /** The last value of aItem in the log; "-" if there is none. */
  std::string ValueOf(const std::string& aItem) const;
  /** The number of open connections. */
  std::size_t Connections() const { return sessions_.size(); }
  void Append(LogEntry aEntry) { log_.push_back(std::move(aEntry)); }

  bool isPrimary = false;
  Session::Term term = 1;
  /** The databases that receive every commit of this one. */
  std::vector<StandInDatabase*> replicas;
  /** How many times a read returns the value, as rows of its own. */
  int rowsPerRead = 1;
  /** The same by item, where it differs. */
  std::map<std::string, int> rowsOfItem;
  /** Each executed client statement as "REQUEST-ID TEXT". */
  std::vector<std::string> executed;
  /** False in tests whose statements are many and large. */
  bool keepsExecuted = true;

private:
  friend class DatabaseSession;
  void Remove(const std::shared_ptr<DatabaseSession>& aSession);

  Core::Loop& loop_;
  std::string group_;
  std::string id_;
  std::unique_ptr<Wire::LineServer> server_;
  std::set<std::shared_ptr<DatabaseSession>> sessions_;
  std::vector<LogEntry> log_;
};

} // namespace StandIns
