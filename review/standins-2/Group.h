#pragma once

// A stand-in for one service: a primary and its replicas, with a replicated
// log. Follows the pages: a replica receives a commit over the network and
// applies it later, a promoted database leads with what it had received, and a
// former primary goes on until STEPDOWN, or until a second after it can reach
// the new one.

#include "Platform.h"

#include <LibSession/LogPosition.h>

#include <set>

namespace Review {

struct Commit
{
  std::uint64_t term = 0;
  /** The id of the client's statement. */
  std::string id;
  std::string item;
  std::string data;
};

struct GroupTiming
{
  Core::Duration work = std::chrono::milliseconds(4);
  Core::Duration network = std::chrono::milliseconds(1);
  Core::Duration applyLag = std::chrono::milliseconds(60);
  Core::Duration promote = std::chrono::milliseconds(600);
};

class Group;
class DatabaseSession;

class Database
{
public:
  Database(Core::Loop& aLoop, Group& aGroup, std::string aId);
  ~Database();

  void Listen(const Wire::Address& aAddress);
  /** Ends the process: closes its socket and all connections. */
  void Crash();
  bool IsRunning() const { return server_ != nullptr; }

  const std::string& Id() const { return id_; }
  const Wire::Address& Address() const { return address_; }
  /** The entry that it keeps in the store's table of databases. */
  std::string Entry(const std::string& aState) const;

  Session::LogPosition Received() const;
  Session::LogPosition Applied() const;
  std::string ValueOf(const std::string& aItem) const;
  bool Has(const std::string& aCommit) const;
  bool HasApplied(const std::string& aCommit) const;

  void Append(Commit aCommit, const std::function<void()>& aAcknowledge);
  void Follow(Database& aPrimary);
  void Lead(std::uint64_t aTerm);
  /** Adds a commit that all databases have. */
  void Load(Commit aCommit)
  {
    log_.push_back(std::move(aCommit));
    applied_ = log_.size();
  }
  /** Starts with the log of a database that has ended at its address. */
  void TakeLog(const Database& aFormer)
  {
    log_ = aFormer.log_;
    applied_ = log_.size();
    term = aFormer.term;
  }

  bool isPrimary = false;
  std::uint64_t term = 1;
  /** While set, it receives nothing. */
  bool isDeaf = false;
  long long born = 0;

private:
  friend class DatabaseSession;
  friend class Group;
  void Receive(Database& aFrom);
  void Remove(const std::shared_ptr<DatabaseSession>& aSession);

  Core::Loop& loop_;
  Group& group_;
  std::string id_;
  Wire::Address address_;
  std::unique_ptr<Wire::LineServer> server_;
  std::set<std::shared_ptr<DatabaseSession>> sessions_;
  std::vector<Commit> log_;
  std::size_t applied_ = 0;
  /** Increases when the log is cut, so that pending work is dropped. */
  std::uint64_t epoch_ = 0;
  std::map<std::size_t, std::function<void()>> unacknowledged_;
};

class Group
{
public:
  /** Called when a read runs at a database. */
  using ReadObserver =
    std::function<void(const Database&, const std::string& aRequest)>;
  /** Called when a write commits at a database. */
  using CommitObserver =
    std::function<void(const Database&, const Commit& aCommit)>;

  Group(Core::Loop& aLoop,
        Record& aRecord,
        std::string aName,
        GroupTiming aTiming,
        int aSyncReplicas);

  Database& Add(const std::string& aId);
  Database* Find(const std::string& aId);
  const std::vector<std::unique_ptr<Database>>& Databases() const
  {
    return databases_;
  }
  /** The primary of the highest term. */
  Database* Primary();
  /** Carries out a promote call; false if that database is not running. */
  bool Promote(const std::string& aId);

  const std::string& Name() const { return name_; }
  const GroupTiming& Timing() const { return timing_; }
  int SyncReplicas() const { return syncReplicas_; }
  Record& Log() { return record_; }

  ReadObserver onRead;
  CommitObserver onCommit;
  /** Called when a promote takes effect, before the others follow. */
  std::function<void(Database& aNew)> onPromoted;

private:
  void TakeEffect(const std::string& aId);

  Core::Loop& loop_;
  Record& record_;
  std::string name_;
  GroupTiming timing_;
  int syncReplicas_;
  std::vector<std::unique_ptr<Database>> databases_;
};

} // namespace Review
