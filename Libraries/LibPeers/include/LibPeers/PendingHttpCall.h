#pragma once

#include <LibAuthority/ChangeFeed.h>
#include <LibWire/HttpClient.h>

namespace Peers {

/** An HTTP call that is cancelled when this is destroyed. */
class PendingHttpCall final : public Authority::PendingRequest
{
public:
  PendingHttpCall(Wire::HttpClient& aClient, Wire::HttpCallId aCall)
    : client_(aClient)
    , call_(aCall)
  {
  }
  ~PendingHttpCall() override { client_.Cancel(call_); }
  PendingHttpCall(const PendingHttpCall&) = delete;
  PendingHttpCall& operator=(const PendingHttpCall&) = delete;

  std::size_t ReceivedBytes() const override
  {
    return client_.ReceivedBytes(call_);
  }

private:
  Wire::HttpClient& client_;
  Wire::HttpCallId call_;
};

} // namespace Peers
