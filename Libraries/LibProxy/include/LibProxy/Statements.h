#pragma once

#include <LibProxy/GroupHome.h>

namespace Proxy {

/**
 * Runs a caller's statement at its group's home: a read where its session and
 * accepted age allow, a write at the primary with the ledger. aCallback runs
 * once, at the request's deadline at the latest.
 */
void
RunStatement(GroupHome& aHome,
             const Request::StatementRequest& aRequest,
             Request::AnswerCallback aCallback);

/** Tells what became of the request that aRequest names, from the ledger. */
void
LookUpRequest(GroupHome& aHome,
              const Request::StatementRequest& aRequest,
              Request::AnswerCallback aCallback);

} // namespace Proxy
