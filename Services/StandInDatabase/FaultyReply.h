#pragma once

#include "Faults.h"

#include <LibWire/HttpMessage.h>

#include <string>
#include <utility>

namespace StandIn {

/** Forwards a reply unless a fault drops it. */
class FaultyReply final : public Wire::HttpReply
{
public:
  FaultyReply(const Faults& aFaults,
              std::string aSender,
              Wire::ConnectionNumber aConnection,
              Wire::HttpReplyHandle aInner)
    : faults_(aFaults)
    , sender_(std::move(aSender))
    , connection_(aConnection)
    , inner_(std::move(aInner))
  {
  }

  void Send(Wire::HttpResponse aResponse) override
  {
    if (!faults_.DropsReply(sender_, connection_))
      inner_->Send(std::move(aResponse));
  }

private:
  const Faults& faults_;
  std::string sender_;
  Wire::ConnectionNumber connection_;
  Wire::HttpReplyHandle inner_;
};

} // namespace StandIn
