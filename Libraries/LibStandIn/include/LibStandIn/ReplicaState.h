#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/LastReason.h>
#include <LibSession/LogPosition.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

using Session::LogPosition;
using Session::Term;

/** One committed transaction of a group's log. */
struct LogEntry
{
  /** The term of the primary that appended it. */
  Term term = 0;
  std::string payload;
};

/** The role of a database in its group. */
enum class ReplicaRole
{
  /** Has no primary: just started, or fenced by a promoter. */
  Fenced,
  Follower,
  Primary,
};

inline constexpr Core::EnumNames<ReplicaRole, 3> kReplicaRoleNames{ {
  { { ReplicaRole::Fenced, "fenced" },
    { ReplicaRole::Follower, "replica" },
    { ReplicaRole::Primary, "primary" } },
} };

/** Maps the names of databases to their identities. */
using IdentityMap = std::map<std::string, std::string>;

/** The persistent state of a database, besides its log entries. */
struct ReplicaMeta
{
  /** Created with the file; a database that loses its file gets a new one. */
  std::string identity;
  /** The highest term promised. */
  Term promised = 0;
  /** The promoter to which that term is promised. */
  std::string owner;
  /** The latest term with whose log this log caught up; LogPosition::term. */
  Term logTerm = 0;
  /** True for a new identity until the promoter of a later term admits it. */
  bool joining = false;
  /** The term whose promoter admits this database, once it has caught up. */
  Term admittedBy = 0;
  /** The current identities of the databases that lost their files. */
  IdentityMap identities;
};

/** Persistent storage of a replica's metadata and log. */
class ReplicaStorage
{
public:
  virtual ~ReplicaStorage() = default;
  virtual void SaveMeta(const ReplicaMeta& aMeta) = 0;
  virtual void Append(const LogEntry& aEntry) = 0;
  /** Removes the entries after aPosition. */
  virtual void TruncateTo(std::uint64_t aPosition) = 0;
};

/** A follower's request to its primary for the entries after a position. */
struct LogRequest
{
  Term term = 0;
  std::uint64_t afterPosition = 0;
  /** The term of the entry at afterPosition; 0 at the start of the log. */
  Term afterTerm = 0;
};

/** The primary's response to a LogRequest. */
struct LogBatch
{
  Term term = 0;
  /** The length of the primary's log at its promotion. */
  std::uint64_t promotedAt = 0;
  std::uint64_t afterPosition = 0;
  Term afterTerm = 0;
  /** False if the logs differ at afterPosition; retry after retryFrom. */
  bool matched = false;
  std::uint64_t retryFrom = 0;
  std::vector<LogEntry> entries;
};

/** The effect of a batch on the follower's log. */
struct AcceptResult
{
  bool accepted = false;
  /** True if entries were truncated, so that the data must be rebuilt. */
  bool cut = false;
  /** The position of the first appended entry, or 0. */
  std::uint64_t firstNew = 0;
};

/**
 * The replication rules of one stand-in database: promised terms, roles and the
 * log. Performs no I/O of its own, except through ReplicaStorage.
 */
class ReplicaState
{
public:
  ReplicaState(ReplicaMeta aMeta,
               std::vector<LogEntry> aLog,
               ReplicaStorage& aStorage);

  /**
   * Promises aTerm to aOwner; a primary of an earlier term steps down.
   * aAdmitted are the joining databases that the promoter admits. Votes of
   * their previous identities become void.
   */
  bool Fence(Term aTerm,
             const std::string& aOwner,
             const IdentityMap& aAdmitted,
             Core::LastReason& aReason);

  /** Makes this the primary of aTerm, which must be promised to aOwner. */
  bool Promote(Term aTerm,
               const std::string& aOwner,
               Core::LastReason& aReason);

  /** Promises aTerm to aOwner and follows aPrimary, the primary of aTerm. */
  bool Follow(Term aTerm,
              const std::string& aOwner,
              const std::string& aPrimary,
              Core::LastReason& aReason);

  /** Appends a transaction. The caller must have checked IsPrimary. */
  LogPosition Append(std::string aPayload);

  /** Returns std::nullopt if this is not the primary of the request's term. */
  std::optional<LogBatch> Serve(const LogRequest& aRequest,
                                std::size_t aMaxEntries) const;

  /** Applies a batch as follower; ignores a stale or mismatching one. */
  AcceptResult Accept(const LogBatch& aBatch);

  bool IsPrimary() const { return role_ == ReplicaRole::Primary; }
  ReplicaRole Role() const { return role_; }
  const ReplicaMeta& Meta() const { return meta_; }
  const std::string& Primary() const { return primary_; }
  LogPosition Log() const { return { meta_.logTerm, log_.size() }; }
  const std::vector<LogEntry>& Entries() const { return log_; }
  /** The term of the entry at aPosition; 0 if there is none. */
  Term TermAt(std::uint64_t aPosition) const;

private:
  bool Promise(Term aTerm,
               const std::string& aOwner,
               Core::LastReason& aReason);
  void TruncateTo(std::uint64_t aPosition, AcceptResult& aResult);
  void AppendEntries(const LogBatch& aBatch, AcceptResult& aResult);

  ReplicaMeta meta_;
  std::vector<LogEntry> log_;
  ReplicaStorage& storage_;
  ReplicaRole role_ = ReplicaRole::Fenced;
  std::string primary_;
  std::uint64_t promotedAt_ = 0;
};

} // namespace StandIn
