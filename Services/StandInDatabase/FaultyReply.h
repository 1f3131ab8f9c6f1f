#pragma once

#include "Faults.h"

#include <LibWire/HttpMessage.h>

#include <string>
#include <utility>

namespace StandIn {

/** Passes an answer on unless a fault cuts its way out. */
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

  void Send(Wire::HttpAnswer aAnswer) override
  {
    if (!faults_.DropsAnswer(sender_, connection_))
      inner_->Send(std::move(aAnswer));
  }

private:
  const Faults& faults_;
  std::string sender_;
  Wire::ConnectionNumber connection_;
  Wire::HttpReplyHandle inner_;
};

} // namespace StandIn
