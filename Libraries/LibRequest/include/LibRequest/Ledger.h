#pragma once

#include <LibEndpoint/EndpointLink.h>
#include <LibRequest/WriteFlow.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Request {

/**
 * The SQL of the request ledger: a table in every group with one row per
 * request id. The row is written in the same transaction as the caller's
 * statement, so that a retry can tell whether the request ran.
 */
class Ledger
{
public:
  /** The index of the ledger's row in RunBatch's statements. */
  static constexpr std::size_t kRowStatement = 0;
  /** The index of the caller's statement in RunBatch's statements. */
  static constexpr std::size_t kCallerStatement = 1;

  /**
   * Inserts the row, runs the caller's statement and stores its count of
   * affected rows, in one transaction.
   */
  static Endpoint::Batch RunBatch(Term aTerm,
                                  const std::string& aRequestId,
                                  const Endpoint::Statement& aStatement,
                                  std::int64_t aExpiresAtMs);

  /** Inserts the row in the open transaction and commits it. */
  static Endpoint::Batch CommitBatch(const std::string& aRequestId,
                                     std::int64_t aExpiresAtMs);

  /**
   * Inserts a tombstone, a row that marks the request as not run, in a
   * transaction of its own. The request can't run any more after that.
   */
  static Endpoint::Batch TombstoneBatch(Term aTerm,
                                        const std::string& aRequestId,
                                        std::int64_t aExpiresAtMs);

  /** Reads the row of a request id. */
  static Endpoint::Batch LookUpBatch(Term aTerm, const std::string& aRequestId);

  /** Deletes up to 200 rows that expired before aNowMs. */
  static Endpoint::Batch ExpireBatch(Term aTerm, std::int64_t aNowMs);

  /** True if the insertion failed because the request id has a row. */
  static bool IsHit(const Endpoint::BatchResponse& aResponse);

  /**
   * Reads the response to LookUpBatch. Returns std::nullopt if the batch failed
   * or the row is malformed.
   */
  static std::optional<LedgerRow> ReadRow(
    const Endpoint::BatchResponse& aResponse,
    std::int64_t& aAffected);
};

} // namespace Request
