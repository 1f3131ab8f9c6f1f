#pragma once

#include <LibCore/EnumNames.h>

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/** A row of the platform's table service. */
struct TableRow
{
  std::string key;
  /** Counts the row's changes; 0 stands for a row that is not there. */
  std::uint64_t version = 0;
  boost::json::value value;
};

/** Puts that take effect together, if every condition holds. */
struct TableTransaction
{
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

enum class CommitEnd
{
  Committed,
  /** A condition did not hold; nothing has changed. */
  Conflict,
  /** The service did not take it; nothing has changed. */
  Refused,
  /** No answer: it may have taken effect. */
  Unknown,
};

inline constexpr Core::EnumNames<CommitEnd, 4> kCommitEndNames{ {
  { { CommitEnd::Committed, "committed" },
    { CommitEnd::Conflict, "conflict" },
    { CommitEnd::Refused, "refused" },
    { CommitEnd::Unknown, "unknown" } },
} };

/** The rows asked for; absent when the service can't be had. */
using RowsCallback = std::function<void(std::optional<std::vector<TableRow>>)>;
using CommitCallback = std::function<void(CommitEnd)>;

/** The platform's transactional table service. */
class TableService
{
public:
  virtual ~TableService() = default;
  /** Reads one row; it has version 0 when it is not there. */
  virtual void Read(const std::string& aKey, RowsCallback aCallback) = 0;
  /** Reads the last aMost rows, in the keys' order, that start with aPrefix. */
  virtual void Scan(const std::string& aPrefix,
                    std::size_t aMost,
                    RowsCallback aCallback) = 0;
  virtual void Commit(const TableTransaction& aTransaction,
                      CommitCallback aCallback) = 0;
};

} // namespace Platform
