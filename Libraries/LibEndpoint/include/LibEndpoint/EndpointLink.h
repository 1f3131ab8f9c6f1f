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

/** A statement, which is passed on to the database without parsing. */
struct Statement
{
  std::string sql;
  boost::json::array parameters;
};

/** The statements of one exchange with a database, and its transaction. */
struct Batch
{
  /** Run only if the database's log is of this term; 0: of any term. */
  Term term = 0;
  bool begin = false;
  bool commit = false;
  bool rollback = false;
  bool readOnly = false;
  std::vector<Statement> statements;
};

/** The result of a batch, as far as the next step depends on it. */
enum class BatchStatus
{
  Ok,
  /** The database refused a statement and rolled everything back. */
  StatementFailed,
  /** Not begun: the database's log is of another term. */
  WrongTerm,
  /** Not begun: the database is not a primary. */
  NotPrimary,
  /** Not begun: the database closed this connection and its transaction. */
  UnknownConnection,
  /** Not begun: the database could not be reached. */
  NotSent,
  /** It may have run: no response, or one that can't be interpreted. */
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

/** The result of one statement of a batch. */
struct StatementResult
{
  boost::json::array columns;
  boost::json::array rows;
  std::int64_t affected = 0;
};

/** The response to a batch. */
struct BatchResponse
{
  BatchStatus status = BatchStatus::Unknown;
  std::string reason;
  /** The index of the failed statement, if one failed. */
  std::size_t failedStatement = 0;
  /** True if it failed because its unique key exists already. */
  bool isUniqueViolation = false;
  std::vector<StatementResult> results;
  /** The database's report in the same response; absent without one. */
  std::optional<DatabaseReport> report;
};
using BatchCallback = std::function<void(BatchResponse)>;

/** A connection to one database. It runs one batch at a time. */
class EndpointConnection
{
public:
  virtual ~EndpointConnection() = default;

  /** Opens the connection. aCallback gets true if it can be used. */
  virtual void Open(Core::Duration aTimeout,
                    std::function<void(bool)> aCallback) = 0;
  /** Runs a batch. The connection is closed after BatchStatus::Unknown. */
  virtual void Run(const Batch& aBatch,
                   Core::Duration aTimeout,
                   BatchCallback aCallback) = 0;
  virtual bool IsUsable() const = 0;
  /** Closes the connection. The database rolls back an open transaction. */
  virtual void Close() = 0;
};

/** A request for a database's report; a long poll if known is set. */
struct StatusRequest
{
  /** If set, the response is delayed while the report would equal this. */
  std::optional<DatabaseReport> known;
  /** The maximum delay of the response. */
  Core::Duration wait{ 0 };
  /** How long the response may take beyond wait. */
  Core::Duration timeout{ 0 };
};
using ReportCallback = std::function<void(std::optional<DatabaseReport>)>;

/** A promoter's order to a database. */
struct ControlOrder
{
  Term term = 0;
  /** The promoter to whom the term is promised. */
  std::string owner;
  /** Fence: the joining databases to admit, the identity of each by name. */
  std::map<std::string, std::string> admits;
};

/** The response to an order; callbacks get std::nullopt if none came. */
struct ControlResponse
{
  bool isAccepted = false;
  std::string reason;
  DatabaseReport report;
};
using ControlCallback = std::function<void(std::optional<ControlResponse>)>;

/**
 * The interface to one database: connections for statements, status requests
 * and control orders. docs/databases.md describes the protocol.
 */
class EndpointLink
{
public:
  virtual ~EndpointLink() = default;
  virtual std::unique_ptr<EndpointConnection> NewConnection() = 0;
  virtual void RequestStatus(const StatusRequest& aRequest,
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
