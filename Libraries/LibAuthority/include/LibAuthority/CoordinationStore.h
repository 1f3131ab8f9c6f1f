#pragma once

#include <LibCore/EnumNames.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Authority {

/** One row of the shared store, as it was at a version of the store. */
struct StoredRow
{
  std::string key;
  std::string value;
  /** Rises with every change of the store; 0 means that there is no row. */
  std::uint64_t version = 0;
};

/** What is known of a conditional write. */
enum class WriteResult
{
  /** It took effect. */
  Applied,
  /** It had no effect, since the row had another version. */
  Conflict,
  /** It had no effect, since the store refused the call. */
  Refused,
  /** No answer: it may have taken effect, or may do so seconds later. */
  Unknown,
};

inline constexpr Core::EnumNames<WriteResult, 4> kWriteResultNames{ {
  { { WriteResult::Applied, "applied" },
    { WriteResult::Conflict, "conflict" },
    { WriteResult::Refused, "refused" },
    { WriteResult::Unknown, "unknown" } },
} };

struct WriteOutcome
{
  WriteResult result = WriteResult::Unknown;
  /** Applied: the row's new version. */
  std::uint64_t version = 0;
};

/** Rows whose keys begin so are read when needed, and not followed. */
inline constexpr std::string_view kLeasePrefix = "lease/";

/** The shared store's rows, which are linearizable. */
class CoordinationStore
{
public:
  virtual ~CoordinationStore() = default;

  /**
   * Writes aRow's value if the row's version is still aRow.version (0: if there
   * is no such row). aDone runs once, never from inside Write.
   */
  virtual void Write(const StoredRow& aRow,
                     std::function<void(WriteOutcome)> aDone) = 0;

  /** Reads one row; none without an answer, version 0 if there is no row. */
  virtual void Read(const std::string& aKey,
                    std::function<void(std::optional<StoredRow>)> aDone) = 0;

  /** Removes the row if its version is still aRow.version. */
  virtual void Remove(const StoredRow& aRow,
                      std::function<void(WriteOutcome)> aDone) = 0;
};

} // namespace Authority
