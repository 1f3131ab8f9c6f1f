#pragma once

#include <LibCore/Loop.h>
#include <LibSession/LogPosition.h>
#include <LibWire/LineConnection.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Review {

class DatabaseSession;

using Values = std::map<std::string, std::string>;

/** A client's statement as a database ran it. */
struct RunStatement
{
  std::string database;
  /** Counts the connections to this database. */
  int connection = 0;
  std::string requestId;
  std::string text;
  /** The connection's session values. */
  const Values& values;
  bool isInTransaction = false;
};

/** A database that speaks the platform's line protocol. */
class Database
{
public:
  using RunHandler = std::function<void(const RunStatement&)>;

  /** aDelay is the time from a statement's arrival to its answer. */
  Database(Core::Loop& aLoop,
           std::string aService,
           std::string aId,
           Core::Duration aDelay);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  Wire::Address Start();
  void OnRun(RunHandler aHandler) { onRun_ = std::move(aHandler); }
  void SetReplicas(std::vector<Database*> aReplicas)
  {
    replicas_ = std::move(aReplicas);
  }
  void Lead() { isPrimary_ = true; }

  /** Becomes the primary of the next term with the log that it has. */
  void Promote(const std::vector<Database*>& aAll);
  bool IsPrimary() const { return isPrimary_; }
  /** True if the write with this request id is in the log. */
  bool HasCommitted(const std::string& aRequestId) const
  {
    return committed_.contains(aRequestId);
  }

private:
  friend class DatabaseSession;
  struct Entry
  {
    Session::Term term = 0;
    std::string requestId;
    std::string item;
    std::string data;
  };

  Session::LogPosition Position() const;
  void Commit(Entry aEntry);
  void Apply(const Entry& aEntry);
  void Remove(const std::shared_ptr<DatabaseSession>& aSession);

  Core::Loop& loop_;
  std::string service_;
  std::string id_;
  Core::Duration delay_;
  std::unique_ptr<Wire::LineServer> server_;
  std::set<std::shared_ptr<DatabaseSession>> sessions_;
  std::vector<Database*> replicas_;
  bool isPrimary_ = false;
  Session::Term term_ = 1;
  int connections_ = 0;
  std::vector<Entry> log_;
  std::set<std::string> committed_;
  std::map<std::string, std::string> items_;
  RunHandler onRun_;
};

} // namespace Review
