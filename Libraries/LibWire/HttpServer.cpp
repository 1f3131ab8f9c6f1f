#include <LibWire/HttpServer.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Wire {

namespace {

constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{ 1 } << 20U;
constexpr std::size_t kMaxHeaderBytes = std::size_t{ 16 } << 10U;
/**
 * libevent's own body limit is this multiple of the configured one. Bodies
 * between the two get the server's 413, which states the limit.
 */
constexpr std::size_t kBodyLimitFactor = 4;
constexpr int kListenBacklog = 1024;

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> segments;
  std::size_t start = 1;
  while (start <= aPath.size()) {
    const std::size_t slash = std::min(aPath.find('/', start), aPath.size());
    segments.emplace_back(aPath.substr(start, slash - start));
    start = slash + 1;
  }
  return segments;
}

std::string
Decode(const std::string& aSegment)
{
  std::size_t size = 0;
  char* decoded = evhttp_uridecode(aSegment.c_str(), 0, &size);
  std::string text(decoded, size);
  std::free(decoded);
  return text;
}

/** Returns the captures if aSegments match aPattern. */
std::optional<std::vector<std::string>>
Match(const std::vector<std::string>& aPattern,
      const std::vector<std::string>& aSegments)
{
  if (aPattern.size() != aSegments.size())
    return std::nullopt;
  std::vector<std::string> captures;
  for (std::size_t i = 0; i < aPattern.size(); ++i) {
    if (aPattern[i].starts_with('{'))
      captures.push_back(Decode(aSegments[i]));
    else if (aPattern[i] != aSegments[i])
      return std::nullopt;
  }
  return captures;
}

std::optional<HttpMethod>
MethodOf(evhttp_request* aRequest)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_GET:
      return HttpMethod::Get;
    case EVHTTP_REQ_POST:
      return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
      return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::Delete;
    default:
      return std::nullopt;
  }
}

std::string
HeaderOf(evhttp_request* aRequest, const char* aName)
{
  const char* value =
    evhttp_find_header(evhttp_request_get_input_headers(aRequest), aName);
  return value != nullptr ? value : "";
}

} // namespace

/** The reply to one evhttp request. */
class HttpServer::Reply final : public HttpReply
{
public:
  Reply(HttpServer& aServer, evhttp_request* aRequest)
    : server_(aServer)
    , request_(aRequest)
    , serverAlive_(aServer.alive_)
  {
    ++server_.inProgress_;
  }
  ~Reply() override
  {
    // Fault injection may drop a reply without sending it. The request then
    // stays with its connection; libevent frees both when that closes.
    if (request_ != nullptr && *serverAlive_)
      --server_.inProgress_;
  }
  Reply(const Reply&) = delete;
  Reply& operator=(const Reply&) = delete;

  void Send(HttpResponse aResponse) override
  {
    if (request_ == nullptr || !*serverAlive_)
      return;
    evhttp_request* request = std::exchange(request_, nullptr);
    if (server_.latency_ == Core::Duration::zero()) {
      server_.SendNow(request, aResponse);
      return;
    }
    server_.loop_.DeferFor(server_.latency_,
                           [&server = server_,
                            alive = serverAlive_,
                            request,
                            response = std::move(aResponse)] {
                             if (*alive)
                               server.SendNow(request, response);
                           });
  }

private:
  HttpServer& server_;
  evhttp_request* request_;
  std::shared_ptr<bool> serverAlive_;
};

HttpServer::HttpServer(Core::Loop& aLoop)
  : loop_(aLoop)
  , http_(evhttp_new(aLoop.Base()))
{
  SetMaxBodyBytes(kDefaultMaxBodyBytes);
  // An oversized body is read to its end before the response is sent. Closing
  // with unread bytes would reset the connection, and the caller would not
  // receive the response.
  evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_max_headers_size(http_, kMaxHeaderBytes);
  evhttp_set_allowed_methods(http_,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE);
  evhttp_set_gencb(http_, &HttpServer::OnRequest, this);
}

HttpServer::~HttpServer()
{
  *alive_ = false;
  for (const auto& [connection, number] : connections_)
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  evhttp_free(http_);
}

std::optional<Address>
HttpServer::Listen(const Address& aAddress, Core::LastReason& aReason)
{
  socket_ =
    evhttp_bind_socket_with_handle(http_, aAddress.host.c_str(), aAddress.port);
  if (socket_ == nullptr)
    return aReason.Set("can't listen on " + aAddress.ToText());

  const int descriptor = evhttp_bound_socket_get_fd(socket_);
  // evhttp's backlog of 128 is too short for many simultaneous callers.
  ::listen(descriptor, kListenBacklog);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  return Address{ aAddress.host, ntohs(bound.sin_port) };
}

void
HttpServer::Route(HttpMethod aMethod,
                  const std::string& aPattern,
                  HttpHandler aHandler)
{
  routes_.push_back({ aMethod, SplitPath(aPattern), std::move(aHandler) });
}

void
HttpServer::SetMaxBodyBytes(std::size_t aBytes)
{
  maxBodyBytes_ = aBytes;
  evhttp_set_max_body_size(http_,
                           static_cast<ev_ssize_t>(aBytes * kBodyLimitFactor));
}

void
HttpServer::OnConnectionClosed(std::function<void(ConnectionNumber)> aListener)
{
  closedListener_ = std::move(aListener);
}

bool
HttpServer::IsOpen(ConnectionNumber aConnection) const
{
  return std::any_of(
    connections_.begin(),
    connections_.end(),
    [aConnection](const auto& aEntry) { return aEntry.second == aConnection; });
}

void
HttpServer::Drain()
{
  draining_ = true;
  if (socket_ != nullptr)
    evhttp_del_accept_socket(http_, std::exchange(socket_, nullptr));
}

void
HttpServer::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  static_cast<HttpServer*>(aSelf)->Dispatch(aRequest);
}

void
HttpServer::OnClosed(evhttp_connection* aConnection, void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  const auto found = self->connections_.find(aConnection);
  if (found == self->connections_.end())
    return;
  const ConnectionNumber number = found->second;
  self->connections_.erase(found);
  if (self->closedListener_)
    self->closedListener_(number);
}

ConnectionNumber
HttpServer::NumberOf(evhttp_connection* aConnection)
{
  const auto [entry, isNew] =
    connections_.try_emplace(aConnection, lastConnection_ + 1);
  if (isNew) {
    ++lastConnection_;
    evhttp_connection_set_closecb(aConnection, &HttpServer::OnClosed, this);
  }
  return entry->second;
}

bool
HttpServer::ReadRequest(evhttp_request* aRequest, HttpRequest& aResult) const
{
  const auto method = MethodOf(aRequest);
  const char* path =
    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(aRequest));
  if (!method || path == nullptr)
    return false;
  aResult.method = *method;
  aResult.path = path;
  aResult.authorization = HeaderOf(aRequest, "Authorization");
  aResult.sender = HeaderOf(aRequest, kSenderHeader);

  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  aResult.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, aResult.body.data(), aResult.body.size());

  const char* query =
    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(aRequest));
  if (query != nullptr) {
    evkeyvalq pairs{};
    evhttp_parse_query_str(query, &pairs);
    for (const evkeyval* pair = pairs.tqh_first; pair != nullptr;
         pair = pair->next.tqe_next)
      aResult.query[pair->key] = pair->value;
    evhttp_clear_headers(&pairs);
  }
  return true;
}

void
HttpServer::Dispatch(evhttp_request* aRequest)
{
  HttpRequest request;
  const bool readable = ReadRequest(aRequest, request);
  request.connection = NumberOf(evhttp_request_get_connection(aRequest));
  auto reply = std::make_shared<Reply>(*this, aRequest);
  if (!readable) {
    reply->Send(HttpResponse::Error(
      HttpStatus::BadRequest, "the request has no usable method or path"));
    return;
  }
  if (request.body.size() > maxBodyBytes_) {
    reply->Send(HttpResponse::Error(
      HttpStatus::PayloadTooLarge,
      "the body is longer than " + std::to_string(maxBodyBytes_) + " bytes"));
    return;
  }
  if (latency_ == Core::Duration::zero()) {
    RunHandler(request, reply);
    return;
  }
  loop_.DeferFor(latency_,
                 [this, alive = alive_, request = std::move(request), reply] {
                   if (*alive)
                     RunHandler(request, reply);
                 });
}

void
HttpServer::RunHandler(const HttpRequest& aRequest,
                       const HttpReplyHandle& aReply)
{
  const std::vector<std::string> segments = SplitPath(aRequest.path);
  for (const RouteEntry& route : routes_) {
    if (route.method != aRequest.method)
      continue;
    auto captures = Match(route.segments, segments);
    if (!captures)
      continue;
    HttpRequest matched = aRequest;
    matched.captures = std::move(*captures);
    route.handler(matched, aReply);
    return;
  }
  aReply->Send(HttpResponse::Error(
    HttpStatus::NotFound,
    "no route for " + std::string(kHttpMethodNames.NameOf(aRequest.method)) +
      ' ' + aRequest.path));
}

void
HttpServer::SendNow(evhttp_request* aRequest, const HttpResponse& aResponse)
{
  --inProgress_;
  evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
  evhttp_add_header(headers, "Content-Type", aResponse.contentType.c_str());
  for (const auto& [name, value] : aResponse.headers)
    evhttp_add_header(headers, name.c_str(), value.c_str());
  if (aResponse.retryAfterSeconds > 0) {
    const std::string seconds = std::to_string(aResponse.retryAfterSeconds);
    evhttp_add_header(headers, "Retry-After", seconds.c_str());
  }
  if (draining_)
    evhttp_add_header(headers, "Connection", "close");
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aResponse.body.data(), aResponse.body.size());
  evhttp_send_reply(aRequest, aResponse.status, nullptr, body);
  evbuffer_free(body);
}

} // namespace Wire
