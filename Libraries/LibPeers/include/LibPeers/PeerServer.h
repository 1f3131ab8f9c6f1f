#pragma once

#include <LibPooler/Peers.h>
#include <LibWire/FieldReader.h>
#include <LibWire/HttpServer.h>

namespace Peers {

/** Answers the messages of other nodes. */
class PeerServer
{
public:
  PeerServer(Core::Loop& aLoop, Pooler::PeerHandler& aHandler);

  std::optional<Wire::Address> Listen(const Wire::Address& aAddress,
                                      Core::LastReason& aReason);

private:
  using Task = std::function<void(Wire::FieldReader&, boost::json::object&)>;
  /** Answers POST requests for aPath with this member's name and more. */
  void Route(const std::string& aPath, Task aTask);
  void AddRoutes();

  Pooler::PeerHandler& handler_;
  Wire::HttpServer server_;
};

} // namespace Peers
