#pragma once

#include <LibEndpoint/EndpointLink.h>
#include <LibWire/HttpConnection.h>

namespace Endpoint {

/**
 * EndpointConnection over one HTTP connection.
 *
 * Every batch carries a number, the exchange, which the database's response
 * repeats.
 */
class HttpEndpointConnection final : public EndpointConnection
{
public:
  HttpEndpointConnection(Core::Loop& aLoop,
                         const Wire::Address& aAddress,
                         const std::string& aSender);

  void Open(Core::Duration aTimeout,
            std::function<void(bool)> aCallback) override;
  void Run(const Batch& aBatch,
           Core::Duration aTimeout,
           BatchCallback aCallback) override;
  bool IsUsable() const override { return connection_.IsUsable(); }
  void Close() override { connection_.Close(); }

private:
  BatchResponse ReadResponse(const Wire::HttpOutcome& aOutcome,
                             std::uint64_t aExchange);

  Wire::HttpConnection connection_;
  std::uint64_t lastExchange_ = 0;
};

} // namespace Endpoint
