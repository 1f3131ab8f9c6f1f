#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/LastReason.h>

#include <boost/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

struct sqlite3;

namespace StandIn {

/** A statement and its positional parameters. */
struct SqlStatement
{
  std::string sql;
  boost::json::array parameters;
};

/** Why a statement failed, in the categories that clients distinguish. */
enum class SqlProblem
{
  None,
  /** A unique or primary key constraint failed. */
  UniqueViolation,
  /** SQLITE_BUSY, such as for a write on an outdated snapshot. */
  Serialization,
  /** The statement writes, but only reads are allowed. */
  ReadOnly,
  Other,
};

inline constexpr Core::EnumNames<SqlProblem, 5> kSqlProblemNames{ {
  { { SqlProblem::None, "none" },
    { SqlProblem::UniqueViolation, "unique_violation" },
    { SqlProblem::Serialization, "serialization" },
    { SqlProblem::ReadOnly, "read_only" },
    { SqlProblem::Other, "other" } },
} };

struct SqlResult
{
  SqlProblem problem = SqlProblem::None;
  std::string reason;
  boost::json::array columns;
  boost::json::array rows;
  /** The number of rows changed. */
  std::int64_t affected = 0;
  /** True if the statement was a write, which must be replicated. */
  bool wrote = false;
};

/** One SQLite connection, with at most one transaction. */
class SqlSession
{
public:
  explicit SqlSession(const std::string& aPath);
  ~SqlSession();
  SqlSession(const SqlSession&) = delete;
  SqlSession& operator=(const SqlSession&) = delete;

  bool Begin();
  bool Commit();
  void Rollback();
  bool InTransaction() const;

  /** Runs one statement. With aReadOnly, writes fail with ReadOnly. */
  SqlResult Run(const SqlStatement& aStatement, bool aReadOnly);

  /** True if aSql is a write; false for reads and text that does not parse. */
  bool IsWrite(const std::string& aSql);

  /** Runs a script of several statements. */
  bool RunScript(const std::string& aScript, Core::LastReason& aReason);

private:
  sqlite3* handle_ = nullptr;
};

/** Converts the statements of a transaction to and from a log payload. */
std::string
EncodeStatements(const std::vector<SqlStatement>& aStatements);
std::vector<SqlStatement>
DecodeStatements(const std::string& aPayload);

/**
 * The data of one stand-in database: an SQLite file that holds the result of
 * applying the log to the schema, and can be rebuilt from the two.
 */
class SqlEngine
{
public:
  SqlEngine(std::string aPath, std::string aSchema);

  /** Deletes the data and recreates it from the schema alone. */
  bool Rebuild(Core::LastReason& aReason);

  /** Applies the payload of one log entry in a transaction. */
  bool Apply(const std::string& aPayload, Core::LastReason& aReason);

  /** Opens a new session on the data; Rebuild invalidates it. */
  std::unique_ptr<SqlSession> Open() const;

private:
  std::string path_;
  std::string schema_;
  std::unique_ptr<SqlSession> applier_;
};

} // namespace StandIn
