#pragma once

#include <LibEndpoint/EndpointLink.h>
#include <LibRequest/WriteFlow.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Request {

/**
 * The SQL of the request ledger: one row a request id, in a table of each
 * group, written in the caller's own transaction.
 */
class Ledger
{
public:
  /** The index of the ledger's row in RunBatch's statements. */
  static constexpr std::size_t kRowStatement = 0;
  /** The index of the caller's statement in RunBatch's statements. */
  static constexpr std::size_t kCallerStatement = 1;

  /** The row, the caller's statement and its count, in one transaction. */
  static Endpoint::Batch RunBatch(Term aTerm,
                                  const std::string& aRequestId,
                                  const Endpoint::Statement& aStatement,
                                  std::int64_t aExpiresAtMs);

  /** The row and the commit of a transaction that is open already. */
  static Endpoint::Batch CommitBatch(const std::string& aRequestId,
                                     std::int64_t aExpiresAtMs);

  /** A row that says "not run", in a transaction of its own. */
  static Endpoint::Batch TombstoneBatch(Term aTerm,
                                        const std::string& aRequestId,
                                        std::int64_t aExpiresAtMs);

  static Endpoint::Batch LookUpBatch(Term aTerm, const std::string& aRequestId);

  /** Deletes a few rows that expired before aNowMs. */
  static Endpoint::Batch ExpireBatch(Term aTerm, std::int64_t aNowMs);

  /** True when the ledger's row was refused because the id has one. */
  static bool IsHit(const Endpoint::BatchAnswer& aAnswer);

  /** Reads LookUpBatch's answer; absent when it has none. */
  static std::optional<LedgerRow> ReadRow(const Endpoint::BatchAnswer& aAnswer,
                                          std::int64_t& aAffected);
};

} // namespace Request
