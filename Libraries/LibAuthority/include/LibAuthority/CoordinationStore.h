#pragma once

#include <LibAuthority/StoreVersion.h>
#include <LibCore/EnumNames.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Authority {

/** A row of the coordination store, as read at some store version. */
struct StoredRow
{
  std::string key;
  std::string value;
  /**
   * The store version of the row's last write, with the store's era (see
   * StoreVersion.h). A number of 0 in any era means that the row does not
   * exist.
   */
  std::uint64_t version = 0;
};

/** The result of a conditional write, as far as the writer knows it. */
enum class WriteResult
{
  /** The write took effect. */
  Applied,
  /** No effect: the row had a different version. */
  Conflict,
  /** No effect: the store refused the request. */
  Refused,
  /** No reply: the write may have taken effect or may do so seconds later. */
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
  /** The row's new version; valid only if result is Applied. */
  std::uint64_t version = 0;
};

/** Key prefix of lease rows, which are read on demand and not followed. */
inline constexpr std::string_view kLeasePrefix = "lease/";

/** Access to the rows of the coordination store; calls are linearizable. */
class CoordinationStore
{
public:
  virtual ~CoordinationStore() = default;

  /**
   * Writes aRow.value if the row's current version equals aRow.version; with
   * number 0, only if the row does not exist. A version of an earlier era is a
   * conflict. Calls aDone exactly once, never before Write returns.
   */
  virtual void Write(const StoredRow& aRow,
                     std::function<void(WriteOutcome)> aDone) = 0;

  /**
   * Reads one row. Passes no value if the store did not reply, and a row with
   * number 0 if the row does not exist.
   */
  virtual void Read(const std::string& aKey,
                    std::function<void(std::optional<StoredRow>)> aDone) = 0;

  /** Removes the row if its current version equals aRow.version. */
  virtual void Remove(const StoredRow& aRow,
                      std::function<void(WriteOutcome)> aDone) = 0;
};

} // namespace Authority
