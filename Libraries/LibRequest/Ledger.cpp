#include <LibRequest/Ledger.h>

namespace Request {

namespace {

constexpr const char* kInsertRow =
  "INSERT INTO mastichold_requests(request_id, outcome, affected, expires_at)"
  " VALUES(?, ?, 0, ?)";
constexpr const char* kSetAffected =
  "UPDATE mastichold_requests SET affected = changes() WHERE request_id = ?";
constexpr const char* kSelectRow =
  "SELECT outcome, affected FROM mastichold_requests WHERE request_id = ?";
constexpr const char* kDeleteExpired =
  "DELETE FROM mastichold_requests WHERE request_id IN (SELECT request_id"
  " FROM mastichold_requests WHERE expires_at < ? LIMIT 200)";
constexpr const char* kRun = "run";
constexpr const char* kTombstone = "tombstone";

Endpoint::Statement
RowStatement(const std::string& aRequestId,
             const char* aOutcome,
             std::int64_t aExpiresAtMs)
{
  return { kInsertRow, { aRequestId, aOutcome, aExpiresAtMs } };
}

} // namespace

Endpoint::Batch
Ledger::RunBatch(Term aTerm,
                 const std::string& aRequestId,
                 const Endpoint::Statement& aStatement,
                 std::int64_t aExpiresAtMs)
{
  Endpoint::Batch batch;
  batch.term = aTerm;
  batch.begin = true;
  batch.commit = true;
  batch.statements = { RowStatement(aRequestId, kRun, aExpiresAtMs),
                       aStatement,
                       { kSetAffected, { aRequestId } } };
  return batch;
}

Endpoint::Batch
Ledger::CommitBatch(const std::string& aRequestId, std::int64_t aExpiresAtMs)
{
  Endpoint::Batch batch;
  batch.commit = true;
  batch.statements = { RowStatement(aRequestId, kRun, aExpiresAtMs) };
  return batch;
}

Endpoint::Batch
Ledger::TombstoneBatch(Term aTerm,
                       const std::string& aRequestId,
                       std::int64_t aExpiresAtMs)
{
  Endpoint::Batch batch;
  batch.term = aTerm;
  batch.begin = true;
  batch.commit = true;
  batch.statements = { RowStatement(aRequestId, kTombstone, aExpiresAtMs) };
  return batch;
}

Endpoint::Batch
Ledger::LookUpBatch(Term aTerm, const std::string& aRequestId)
{
  Endpoint::Batch batch;
  batch.term = aTerm;
  batch.readOnly = true;
  batch.statements = { { kSelectRow, { aRequestId } } };
  return batch;
}

Endpoint::Batch
Ledger::ExpireBatch(Term aTerm, std::int64_t aNowMs)
{
  Endpoint::Batch batch;
  batch.term = aTerm;
  batch.begin = true;
  batch.commit = true;
  batch.statements = { { kDeleteExpired, { aNowMs } } };
  return batch;
}

bool
Ledger::IsHit(const Endpoint::BatchResponse& aResponse)
{
  return aResponse.status == Endpoint::BatchStatus::StatementFailed &&
         aResponse.failedStatement == kRowStatement &&
         aResponse.isUniqueViolation;
}

std::optional<LedgerRow>
Ledger::ReadRow(const Endpoint::BatchResponse& aResponse,
                std::int64_t& aAffected)
{
  if (aResponse.status != Endpoint::BatchStatus::Ok ||
      aResponse.results.empty())
    return std::nullopt;
  const boost::json::array& rows = aResponse.results.front().rows;
  if (rows.empty())
    return LedgerRow::Absent;
  const boost::json::array* row = rows.front().if_array();
  const bool isRow = row != nullptr && row->size() == 2 &&
                     (*row)[0].is_string() && (*row)[1].is_int64();
  if (!isRow)
    return std::nullopt;
  aAffected = (*row)[1].get_int64();
  return (*row)[0].get_string() == kRun ? LedgerRow::Run : LedgerRow::Tombstone;
}

} // namespace Request
