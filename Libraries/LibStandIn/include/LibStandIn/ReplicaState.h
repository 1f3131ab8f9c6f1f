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
  /** The term whose primary appended it. */
  Term term = 0;
  std::string payload;
};

/** What a database is to its group. */
enum class ReplicaRole
{
  /** Follows nobody: just started, or fenced by a promoter. */
  Fenced,
  Follower,
  Primary,
};

inline constexpr Core::EnumNames<ReplicaRole, 3> kReplicaRoleNames{ {
  { { ReplicaRole::Fenced, "fenced" },
    { ReplicaRole::Follower, "replica" },
    { ReplicaRole::Primary, "primary" } },
} };

/** Names of databases, and the identity that each one has. */
using IdentityMap = std::map<std::string, std::string>;

/** What a database keeps across a crash, besides its entries. */
struct ReplicaMeta
{
  /** Made with the file; a database without its file is a new identity. */
  std::string identity;
  /** The highest term promised, and the promoter that it was promised to. */
  Term promised = 0;
  std::string owner;
  /** The term whose log this is; see LogPosition::term. */
  Term logTerm = 0;
  /** True for a new identity until a later term's promoter let it in. */
  bool joining = false;
  /** The term whose promoter lets this database in, once it catches up. */
  Term admittedBy = 0;
  /** The databases that lost their files, and the identities they have now. */
  IdentityMap identities;
};

/** Where a replica's promises and log are kept. */
class ReplicaStorage
{
public:
  virtual ~ReplicaStorage() = default;
  virtual void SaveMeta(const ReplicaMeta& aMeta) = 0;
  virtual void Append(const LogEntry& aEntry) = 0;
  virtual void CutTo(std::uint64_t aPosition) = 0;
};

/** What a follower asks of its primary: the entries after a place. */
struct LogRequest
{
  Term term = 0;
  std::uint64_t afterPosition = 0;
  /** The term of the entry at afterPosition; 0 at the log's start. */
  Term afterTerm = 0;
};

/** The primary's answer to a LogRequest. */
struct LogBatch
{
  Term term = 0;
  /** The length of the primary's log when its term began. */
  std::uint64_t promotedAt = 0;
  std::uint64_t afterPosition = 0;
  Term afterTerm = 0;
  /** False when the primary has another entry there; ask at retryFrom. */
  bool matched = false;
  std::uint64_t retryFrom = 0;
  std::vector<LogEntry> entries;
};

/** What accepting a batch did to the follower's log. */
struct AcceptResult
{
  bool accepted = false;
  /** True when entries were cut, so that the data must be built anew. */
  bool cut = false;
  /** The first of the positions appended, or 0. */
  std::uint64_t firstNew = 0;
};

/**
 * The replication rules of one stand-in database: promises, roles and the
 * log. It does no input or output of its own.
 */
class ReplicaState
{
public:
  ReplicaState(ReplicaMeta aMeta,
               std::vector<LogEntry> aLog,
               ReplicaStorage& aStorage);

  /**
   * Promises aTerm to aOwner and stops being primary of an earlier term.
   * aAdmitted are the joining databases that the promoter lets in; votes of
   * the identities that they had before are void from here on.
   */
  bool Fence(Term aTerm,
             const std::string& aOwner,
             const IdentityMap& aAdmitted,
             Core::LastReason& aReason);

  /** Becomes the primary of aTerm, which must be promised to aOwner. */
  bool Promote(Term aTerm,
               const std::string& aOwner,
               Core::LastReason& aReason);

  /** Follows aPrimary, the primary of aTerm. */
  bool Follow(Term aTerm,
              const std::string& aOwner,
              const std::string& aPrimary,
              Core::LastReason& aReason);

  /** Appends a transaction as primary; the caller has checked IsPrimary. */
  LogPosition Append(std::string aPayload);

  /** Answers a follower; std::nullopt when this is not that term's primary. */
  std::optional<LogBatch> Serve(const LogRequest& aRequest,
                                std::size_t aMostEntries) const;

  /** Takes a batch as follower. A stale or unfitting one changes nothing. */
  AcceptResult Accept(const LogBatch& aBatch);

  bool IsPrimary() const { return role_ == ReplicaRole::Primary; }
  ReplicaRole Role() const { return role_; }
  const ReplicaMeta& Meta() const { return meta_; }
  const std::string& Primary() const { return primary_; }
  LogPosition Log() const { return { meta_.logTerm, log_.size() }; }
  const std::vector<LogEntry>& Entries() const { return log_; }
  Term TermAt(std::uint64_t aPosition) const;

private:
  bool Promise(Term aTerm,
               const std::string& aOwner,
               Core::LastReason& aReason);
  void CutTo(std::uint64_t aPosition, AcceptResult& aResult);
  void TakeEntries(const LogBatch& aBatch, AcceptResult& aResult);

  ReplicaMeta meta_;
  std::vector<LogEntry> log_;
  ReplicaStorage& storage_;
  ReplicaRole role_ = ReplicaRole::Fenced;
  std::string primary_;
  std::uint64_t promotedAt_ = 0;
};

} // namespace StandIn
