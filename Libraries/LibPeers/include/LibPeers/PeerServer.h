#pragma once

#include <LibPooler/ConfigurationPublisher.h>
#include <LibPooler/Peers.h>
#include <LibWire/FieldReader.h>
#include <LibWire/HttpServer.h>

namespace Peers {

/** Serves the HTTP requests of other nodes, with JSON bodies. */
class PeerServer
{
public:
  PeerServer(Core::Loop& aLoop, Pooler::PeerHandler& aHandler);

  /** Returns the bound address; none, with the reason, on failure. */
  std::optional<Wire::Address> Listen(const Wire::Address& aAddress,
                                      Core::LastReason& aReason);

  /** Also answers requests for the configuration; to be called once. */
  void Serve(Pooler::ConfigurationPublisher& aPublisher);

private:
  /** Reads the request's fields and adds fields to the response. */
  using RouteHandler =
    std::function<void(Wire::FieldReader&, boost::json::object&)>;
  /**
   * Serves POST requests for aPath. The response holds this member's key and
   * the fields that aHandler adds. A malformed request gets status 400.
   */
  void Route(const std::string& aPath, RouteHandler aHandler);
  void AddRoutes();

  Pooler::PeerHandler& handler_;
  Wire::HttpServer server_;
};

} // namespace Peers
