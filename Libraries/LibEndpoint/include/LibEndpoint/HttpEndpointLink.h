#pragma once

#include <LibEndpoint/EndpointLink.h>
#include <LibWire/HttpClient.h>

namespace Endpoint {

/** EndpointLink over the HTTP interface of the stand-in database. */
class HttpEndpointLink final : public EndpointLink
{
public:
  /**
   * aClient sends the status requests and the orders and must outlive the
   * link. Batches have connections of their own.
   */
  HttpEndpointLink(Core::Loop& aLoop,
                   Wire::HttpClient& aClient,
                   const Wire::Address& aAddress,
                   std::string aSender);

  std::unique_ptr<EndpointConnection> NewConnection() override;
  void RequestStatus(const StatusRequest& aRequest,
                     ReportCallback aCallback) override;
  void Fence(const ControlOrder& aOrder,
             Core::Duration aTimeout,
             ControlCallback aCallback) override;
  void Promote(const ControlOrder& aOrder,
               Core::Duration aTimeout,
               ControlCallback aCallback) override;
  void Follow(const ControlOrder& aOrder,
              const std::string& aName,
              const std::string& aAddress,
              Core::Duration aTimeout,
              ControlCallback aCallback) override;

private:
  /** Posts aBody to the control path aCommand. */
  void Order(const std::string& aCommand,
             const boost::json::object& aBody,
             Core::Duration aTimeout,
             ControlCallback aCallback);

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  Wire::Address address_;
  std::string sender_;
};

} // namespace Endpoint
