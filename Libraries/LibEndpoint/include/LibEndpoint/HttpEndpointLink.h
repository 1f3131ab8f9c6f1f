#pragma once

#include <LibEndpoint/EndpointLink.h>
#include <LibWire/HttpClient.h>

namespace Endpoint {

/** EndpointLink over the stand-in database's HTTP interface. */
class HttpEndpointLink final : public EndpointLink
{
public:
  /** aClient carries the control calls and must outlive the link. */
  HttpEndpointLink(Core::Loop& aLoop,
                   Wire::HttpClient& aClient,
                   const Wire::Address& aAddress,
                   std::string aSender);

  std::unique_ptr<EndpointConnection> NewConnection() override;
  void AskStatus(const StatusQuestion& aQuestion,
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
  void Order(const std::string& aWhat,
             const boost::json::object& aBody,
             Core::Duration aTimeout,
             ControlCallback aCallback);

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  Wire::Address address_;
  std::string sender_;
};

} // namespace Endpoint
