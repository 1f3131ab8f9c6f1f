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

/** Why a statement did not run, as far as a client must tell it apart. */
enum class SqlProblem
{
  None,
  /** A unique key is taken. */
  UniqueViolation,
  /** The transaction's snapshot is too old to write. */
  Serialization,
  /** A statement writes where only reads are allowed. */
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
  std::int64_t affected = 0;
  /** True when the statement changed something that must be shipped. */
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

  /** Runs one statement; with aReadOnly a writing one is refused. */
  SqlResult Run(const SqlStatement& aStatement, bool aReadOnly);

  /** True when aSql would write; false too for text that does not parse. */
  bool IsWrite(const std::string& aSql);

  /** Runs a script of many statements. */
  bool RunScript(const std::string& aScript, Core::LastReason& aReason);

private:
  sqlite3* handle_ = nullptr;
};

/** A transaction's statements as a log entry's payload, and back. */
std::string
EncodeStatements(const std::vector<SqlStatement>& aStatements);
std::vector<SqlStatement>
DecodeStatements(const std::string& aPayload);

/**
 * The data of one stand-in database: an SQLite file that is always the
 * schema plus the log, and can be built anew from the two.
 */
class SqlEngine
{
public:
  SqlEngine(std::string aPath, std::string aSchema);

  /** Makes the data anew from nothing but the schema. */
  bool Rebuild(Core::LastReason& aReason);

  /** Applies one log entry. */
  bool Apply(const std::string& aPayload, Core::LastReason& aReason);

  /** A new session on the data, which a rebuild makes useless. */
  std::unique_ptr<SqlSession> Open() const;

private:
  std::string path_;
  std::string schema_;
  std::unique_ptr<SqlSession> applier_;
};

} // namespace StandIn
