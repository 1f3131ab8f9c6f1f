#include <LibProxy/Statements.h>

#include "ReadRunner.h"
#include "WriteRunner.h"

#include <utility>

namespace Proxy {

void
RunStatement(GroupHome& aHome,
             const Request::StatementRequest& aRequest,
             Request::ResponseCallback aCallback)
{
  if (!aRequest.isWrite) {
    std::make_shared<ReadRunner>(aHome, aRequest, std::move(aCallback))
      ->Start();
    return;
  }
  Request::WriteRules rules;
  rules.isFirstAttempt = aRequest.attempt == 1;
  rules.usesLedger = !aRequest.isRepeatable;
  std::make_shared<WriteRunner>(aHome, aRequest, rules, std::move(aCallback))
    ->Start();
}

void
LookUpRequest(GroupHome& aHome,
              const Request::StatementRequest& aRequest,
              Request::ResponseCallback aCallback)
{
  Request::WriteRules rules;
  rules.isFirstAttempt = false;
  rules.onlyLooksUp = true;
  std::make_shared<WriteRunner>(aHome, aRequest, rules, std::move(aCallback))
    ->StartResolution();
}

} // namespace Proxy
