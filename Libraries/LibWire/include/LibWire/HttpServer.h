#pragma once

#include <LibCore/LastReason.h>
#include <LibCore/Loop.h>
#include <LibWire/Address.h>
#include <LibWire/HttpMessage.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace Wire {

using HttpHandler = std::function<void(const HttpRequest&, HttpReplyHandle)>;

/** An HTTP server on one address, with routes and graceful shutdown. */
class HttpServer
{
public:
  explicit HttpServer(Core::Loop& aLoop);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Listens on aAddress and returns the bound address; port 0 picks a port. */
  std::optional<Address> Listen(const Address& aAddress,
                                Core::LastReason& aReason);

  /**
   * Dispatches requests that match aPattern, such as "/v1/groups/{group}", to
   * aHandler. A {placeholder} matches exactly one path segment.
   */
  void Route(HttpMethod aMethod,
             const std::string& aPattern,
             HttpHandler aHandler);

  /** Longer request bodies get a 413 response; the default is 1 MiB. */
  void SetMaxBodyBytes(std::size_t aBytes);

  /** Delays each request and each response by aOneWayDelay, in experiments. */
  void SetEmulatedLatency(Core::Duration aOneWayDelay)
  {
    latency_ = aOneWayDelay;
  }

  /** Sets the listener that gets the number of each closed connection. */
  void OnConnectionClosed(std::function<void(ConnectionNumber)> aListener);

  /** Stops accepting and closes each connection after its next response. */
  void Drain();

  /** Returns the number of received requests without a response yet. */
  std::size_t InProgress() const { return inProgress_; }
  std::size_t Connections() const { return connections_.size(); }
  bool IsOpen(ConnectionNumber aConnection) const;

private:
  class Reply;
  struct RouteEntry
  {
    HttpMethod method;
    std::vector<std::string> segments;
    HttpHandler handler;
  };

  static void OnRequest(evhttp_request* aRequest, void* aSelf);
  static void OnClosed(evhttp_connection* aConnection, void* aSelf);
  void Dispatch(evhttp_request* aRequest);
  void RunHandler(const HttpRequest& aRequest, const HttpReplyHandle& aReply);
  bool ReadRequest(evhttp_request* aRequest, HttpRequest& aResult) const;
  ConnectionNumber NumberOf(evhttp_connection* aConnection);
  void SendNow(evhttp_request* aRequest, const HttpResponse& aResponse);

  Core::Loop& loop_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  std::size_t maxBodyBytes_ = 0;
  Core::Duration latency_{ 0 };
  std::vector<RouteEntry> routes_;
  std::unordered_map<evhttp_connection*, ConnectionNumber> connections_;
  ConnectionNumber lastConnection_ = 0;
  std::function<void(ConnectionNumber)> closedListener_;
  std::size_t inProgress_ = 0;
  bool draining_ = false;
  /** Shared with replies; false after destruction, to disable them. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Wire
