#include <LibStandIn/SqlEngine.h>

#include <sqlite3.h>

#include <cstdio>
#include <utility>

namespace StandIn {

namespace {

using StatementHandle =
  std::unique_ptr<sqlite3_stmt, decltype(&sqlite3_finalize)>;

StatementHandle
Prepare(sqlite3* aHandle, const std::string& aSql)
{
  sqlite3_stmt* statement = nullptr;
  sqlite3_prepare_v2(
    aHandle, aSql.c_str(), static_cast<int>(aSql.size()), &statement, nullptr);
  return { statement, &sqlite3_finalize };
}

void
BindValue(sqlite3_stmt* aStatement,
          int aIndex,
          const boost::json::value& aValue)
{
  if (aValue.is_string()) {
    const auto& text = aValue.get_string();
    sqlite3_bind_text(aStatement,
                      aIndex,
                      text.data(),
                      static_cast<int>(text.size()),
                      SQLITE_TRANSIENT);
  } else if (aValue.is_double()) {
    sqlite3_bind_double(aStatement, aIndex, aValue.get_double());
  } else if (aValue.is_number()) {
    sqlite3_bind_int64(aStatement, aIndex, aValue.to_number<std::int64_t>());
  } else if (aValue.is_bool()) {
    sqlite3_bind_int(aStatement, aIndex, aValue.get_bool() ? 1 : 0);
  } else {
    sqlite3_bind_null(aStatement, aIndex);
  }
}

boost::json::value
ColumnValue(sqlite3_stmt* aStatement, int aIndex)
{
  switch (sqlite3_column_type(aStatement, aIndex)) {
    case SQLITE_INTEGER:
      return sqlite3_column_int64(aStatement, aIndex);
    case SQLITE_FLOAT:
      return sqlite3_column_double(aStatement, aIndex);
    case SQLITE_NULL:
      return nullptr;
    default: {
      const auto* text =
        reinterpret_cast<const char*>(sqlite3_column_text(aStatement, aIndex));
      const auto size =
        static_cast<std::size_t>(sqlite3_column_bytes(aStatement, aIndex));
      return boost::json::string(text, size);
    }
  }
}

SqlProblem
ProblemOf(sqlite3* aHandle)
{
  const int code = sqlite3_extended_errcode(aHandle);
  if (code == SQLITE_CONSTRAINT_PRIMARYKEY || code == SQLITE_CONSTRAINT_UNIQUE)
    return SqlProblem::UniqueViolation;
  if ((code & 0xFF) == SQLITE_BUSY)
    return SqlProblem::Serialization;
  return SqlProblem::Other;
}

SqlResult
Failure(SqlProblem aProblem, std::string aReason)
{
  SqlResult result;
  result.problem = aProblem;
  result.reason = std::move(aReason);
  return result;
}

bool
Execute(sqlite3* aHandle, const char* aSql)
{
  return sqlite3_exec(aHandle, aSql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

} // namespace

SqlSession::SqlSession(const std::string& aPath)
{
  sqlite3_open(aPath.c_str(), &handle_);
  // Only the log file must be durable; the data is rebuilt at every start.
  Execute(handle_, "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF");
}

SqlSession::~SqlSession()
{
  sqlite3_close_v2(handle_);
}

bool
SqlSession::Begin()
{
  return Execute(handle_, "BEGIN");
}

bool
SqlSession::Commit()
{
  return Execute(handle_, "COMMIT");
}

void
SqlSession::Rollback()
{
  if (InTransaction())
    Execute(handle_, "ROLLBACK");
}

bool
SqlSession::InTransaction() const
{
  return sqlite3_get_autocommit(handle_) == 0;
}

bool
SqlSession::IsWrite(const std::string& aSql)
{
  const StatementHandle statement = Prepare(handle_, aSql);
  return statement != nullptr && sqlite3_stmt_readonly(statement.get()) == 0;
}

bool
SqlSession::RunScript(const std::string& aScript, Core::LastReason& aReason)
{
  if (Execute(handle_, aScript.c_str()))
    return true;
  aReason.Set(sqlite3_errmsg(handle_));
  return false;
}

SqlResult
SqlSession::Run(const SqlStatement& aStatement, bool aReadOnly)
{
  const StatementHandle statement = Prepare(handle_, aStatement.sql);
  if (statement == nullptr)
    return Failure(SqlProblem::Other, sqlite3_errmsg(handle_));
  const bool writes = sqlite3_stmt_readonly(statement.get()) == 0;
  if (writes && aReadOnly)
    return Failure(SqlProblem::ReadOnly, "the statement writes");
  const int wanted = sqlite3_bind_parameter_count(statement.get());
  if (wanted != static_cast<int>(aStatement.parameters.size()))
    return Failure(SqlProblem::Other,
                   "the statement takes " + std::to_string(wanted) +
                     " parameters");
  for (int i = 0; i < wanted; ++i)
    BindValue(statement.get(),
              i + 1,
              aStatement.parameters[static_cast<std::size_t>(i)]);

  SqlResult result;
  const int columns = sqlite3_column_count(statement.get());
  for (int i = 0; i < columns; ++i)
    result.columns.emplace_back(sqlite3_column_name(statement.get(), i));
  const int changesBefore = sqlite3_total_changes(handle_);
  int step = sqlite3_step(statement.get());
  for (; step == SQLITE_ROW; step = sqlite3_step(statement.get())) {
    boost::json::array row;
    for (int i = 0; i < columns; ++i)
      row.push_back(ColumnValue(statement.get(), i));
    result.rows.push_back(std::move(row));
  }
  if (step != SQLITE_DONE)
    return Failure(ProblemOf(handle_), sqlite3_errmsg(handle_));
  result.wrote = writes;
  if (sqlite3_total_changes(handle_) != changesBefore)
    result.affected = sqlite3_changes(handle_);
  return result;
}

std::string
EncodeStatements(const std::vector<SqlStatement>& aStatements)
{
  boost::json::array list;
  for (const SqlStatement& statement : aStatements)
    list.push_back(boost::json::array{ statement.sql, statement.parameters });
  return boost::json::serialize(list);
}

std::vector<SqlStatement>
DecodeStatements(const std::string& aPayload)
{
  std::vector<SqlStatement> statements;
  const boost::json::value list = boost::json::parse(aPayload);
  for (const boost::json::value& item : list.as_array()) {
    const boost::json::array& pair = item.as_array();
    statements.push_back(
      { std::string(pair[0].as_string()), pair[1].as_array() });
  }
  return statements;
}

SqlEngine::SqlEngine(std::string aPath, std::string aSchema)
  : path_(std::move(aPath))
  , schema_(std::move(aSchema))
{
}

bool
SqlEngine::Rebuild(Core::LastReason& aReason)
{
  applier_.reset();
  for (const char* suffix : { "", "-wal", "-shm" })
    std::remove((path_ + suffix).c_str());
  applier_ = Open();
  return applier_->RunScript(schema_, aReason);
}

bool
SqlEngine::Apply(const std::string& aPayload, Core::LastReason& aReason)
{
  applier_->Begin();
  for (const SqlStatement& statement : DecodeStatements(aPayload)) {
    const SqlResult result = applier_->Run(statement, false);
    if (result.problem == SqlProblem::None)
      continue;
    applier_->Rollback();
    aReason.Set(result.reason);
    return false;
  }
  return applier_->Commit();
}

std::unique_ptr<SqlSession>
SqlEngine::Open() const
{
  return std::make_unique<SqlSession>(path_);
}

} // namespace StandIn
