#pragma once

#include <LibProxy/GroupHome.h>

namespace Proxy {

/**
 * Runs a caller's statement at the home of its group. A read runs at any
 * database that satisfies its session token and accepted age. A write runs at
 * the primary, and is recorded in the ledger unless it is repeatable. Calls
 * aCallback once, at the request's deadline at the latest.
 */
void
RunStatement(GroupHome& aHome,
             const Request::StatementRequest& aRequest,
             Request::ResponseCallback aCallback);

/** Reports the outcome of an earlier request, by its ledger row. */
void
LookUpRequest(GroupHome& aHome,
              const Request::StatementRequest& aRequest,
              Request::ResponseCallback aCallback);

} // namespace Proxy
