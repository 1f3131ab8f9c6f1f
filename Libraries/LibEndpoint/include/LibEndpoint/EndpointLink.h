#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibEndpoint/DatabaseReport.h>

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Endpoint {

/** A statement that the system passes on unread. */
struct Statement
{
  std::string sql;
  boost::json::array parameters;
};

/** What one exchange with a database asks. */
struct Batch
{
  /** Run only while the database's log is of this term; 0 asks nothing. */
  Term term = 0;
  bool begin = false;
  bool commit = false;
  bool rollback = false;
  bool readOnly = false;
  std::vector<Statement> statements;
};

/** What became of a batch, as far as the next decision depends on it. */
enum class BatchStatus
{
  Ok,
  /** The database refused a statement and rolled everything back. */
  StatementFailed,
  /** Not begun: the database is of another term. */
  WrongTerm,
  /** Not begun: the database is not a primary. */
  NotPrimary,
  /** Not begun: the database closed this connection and its transaction. */
  UnknownConnection,
  /** Not begun: the database could not be reached. */
  NotSent,
  /** It may have run: no answer, or an answer to something else. */
  Unknown,
};

inline constexpr Core::EnumNames<BatchStatus, 7> kBatchStatusNames{ {
  { { BatchStatus::Ok, "ok" },
    { BatchStatus::StatementFailed, "statement_failed" },
    { BatchStatus::WrongTerm, "wrong_term" },
    { BatchStatus::NotPrimary, "not_primary" },
    { BatchStatus::UnknownConnection, "unknown_connection" },
    { BatchStatus::NotSent, "not_sent" },
    { BatchStatus::Unknown, "unknown" } },
} };

struct StatementResult
{
  boost::json::array columns;
  boost::json::array rows;
  std::int64_t affected = 0;
};

struct BatchAnswer
{
  BatchStatus status = BatchStatus::Unknown;
  std::string reason;
  /** Which statement failed, and whether on a unique key that is taken. */
  std::size_t failedStatement = 0;
  bool isUniqueViolation = false;
  std::vector<StatementResult> results;
  /** The database's report in the same answer; absent without an answer. */
  std::optional<DatabaseReport> report;
};
using BatchCallback = std::function<void(BatchAnswer)>;

/** One connection to one database; it carries one batch at a time. */
class EndpointConnection
{
public:
  virtual ~EndpointConnection() = default;

  /** Opens it; aCallback says whether it can be used. */
  virtual void Open(Core::Duration aTimeout,
                    std::function<void(bool)> aCallback) = 0;
  /** Runs a batch. After Unknown the connection is closed for good. */
  virtual void Run(const Batch& aBatch,
                   Core::Duration aTimeout,
                   BatchCallback aCallback) = 0;
  virtual bool IsUsable() const = 0;
  /** Closes it; the database rolls back what is open. */
  virtual void Close() = 0;
};

/** What a status question should wait for, so that it can be a long poll. */
struct StatusQuestion
{
  /** Answer at once unless the report would be just like this one. */
  std::optional<DatabaseReport> known;
  Core::Duration wait{ 0 };
  Core::Duration timeout{ 0 };
};
using ReportCallback = std::function<void(std::optional<DatabaseReport>)>;

/** A promoter's order to a database. */
struct ControlOrder
{
  Term term = 0;
  /** Who promotes in that term. */
  std::string owner;
  /** Fence: the joining databases that are let in, and their identities. */
  std::map<std::string, std::string> admits;
};

/** The answer to an order; absent when none came. */
struct ControlAnswer
{
  bool isAccepted = false;
  std::string reason;
  DatabaseReport report;
};
using ControlCallback = std::function<void(std::optional<ControlAnswer>)>;

/** All that is asked of one database; docs/databases.md lists it in words. */
class EndpointLink
{
public:
  virtual ~EndpointLink() = default;
  virtual std::unique_ptr<EndpointConnection> NewConnection() = 0;
  virtual void AskStatus(const StatusQuestion& aQuestion,
                         ReportCallback aCallback) = 0;
  virtual void Fence(const ControlOrder& aOrder,
                     Core::Duration aTimeout,
                     ControlCallback aCallback) = 0;
  virtual void Promote(const ControlOrder& aOrder,
                       Core::Duration aTimeout,
                       ControlCallback aCallback) = 0;
  /** Points the database at the primary aName, which is at aAddress. */
  virtual void Follow(const ControlOrder& aOrder,
                      const std::string& aName,
                      const std::string& aAddress,
                      Core::Duration aTimeout,
                      ControlCallback aCallback) = 0;
};

} // namespace Endpoint
