-- mastichold's request ledger; every group needs it. docs/databases.md.
CREATE TABLE mastichold_requests(
  request_id TEXT PRIMARY KEY,
  outcome TEXT NOT NULL,
  affected INTEGER NOT NULL,
  expires_at INTEGER NOT NULL
);
CREATE INDEX mastichold_requests_expiry ON mastichold_requests(expires_at);
