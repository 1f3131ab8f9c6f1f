#pragma once

#include <LibCore/EnumNames.h>

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/** A row of the platform's table service, with its version. */
struct TableRow
{
  std::string key;
  /** Increases with every change of the row; 0 if the row doesn't exist. */
  std::uint64_t version = 0;
  boost::json::value value;
};

/** Writes that are applied atomically, if all conditions hold. */
struct TableTransaction
{
  /** Holds if the row has this version; 0 if it must not exist. */
  struct Condition
  {
    std::string key;
    std::uint64_t version = 0;
  };
  struct Put
  {
    std::string key;
    boost::json::value value;
  };
  std::vector<Condition> conditions;
  std::vector<Put> puts;
};

enum class CommitOutcome
{
  Committed,
  /** A condition did not hold; nothing was changed. */
  Conflict,
  /** The service did not accept the transaction; nothing was changed. */
  Refused,
  /** No response: the transaction may have been applied. */
  Unknown,
};

inline constexpr Core::EnumNames<CommitOutcome, 4> kCommitOutcomeNames{ {
  { { CommitOutcome::Committed, "committed" },
    { CommitOutcome::Conflict, "conflict" },
    { CommitOutcome::Refused, "refused" },
    { CommitOutcome::Unknown, "unknown" } },
} };

/** Receives the requested rows; std::nullopt if the request failed. */
using RowsCallback = std::function<void(std::optional<std::vector<TableRow>>)>;
using CommitCallback = std::function<void(CommitOutcome)>;

/** The platform's transactional table service. */
class TableService
{
public:
  virtual ~TableService() = default;
  /** Reads one row. A row that doesn't exist has version 0. */
  virtual void Read(const std::string& aKey, RowsCallback aCallback) = 0;
  /**
   * Reads the rows whose keys start with aPrefix, in key order: the last aLimit
   * of them.
   */
  virtual void Scan(const std::string& aPrefix,
                    std::size_t aLimit,
                    RowsCallback aCallback) = 0;
  virtual void Commit(const TableTransaction& aTransaction,
                      CommitCallback aCallback) = 0;
};

} // namespace Platform
