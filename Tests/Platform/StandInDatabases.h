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

/** One commit of a group's log. */
struct LogEntry
{
  Session::Term term = 0;
  std::string item;
  std::string data;
};

/** A database that speaks the platform's line protocol. */
class StandInDatabase
{
public:
  StandInDatabase(Core::Loop& aLoop, std::string aGroup, std::string aId);
  ~StandInDatabase();

  /** Listens on loopback; gives the address. */
  Wire::Address Start();
  /** Ends like a process that is killed. */
  void Kill();

  const std::string& Id() const { return id_; }
  Session::LogPosition Position() const;
  /** The value that the log gives an item; "-" if there is none. */
  std::string ValueOf(const std::string& aItem) const;
  /** The connections that are open to it. */
  std::size_t Connections() const { return sessions_.size(); }
  void Append(LogEntry aEntry) { log_.push_back(std::move(aEntry)); }

  bool isPrimary = false;
  Session::Term term = 1;
  /** Those that get what this one commits. */
  std::vector<StandInDatabase*> replicas;
  /** The texts of clients' statements that it ran, with their ids. */
  std::vector<std::string> ran;

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
