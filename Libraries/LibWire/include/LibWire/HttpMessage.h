#pragma once

#include <LibCore/EnumNames.h>

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Wire {

enum class HttpMethod
{
  Get,
  Post,
  Put,
  Delete,
};

inline constexpr Core::EnumNames<HttpMethod, 4> kHttpMethodNames{ {
  { { HttpMethod::Get, "GET" },
    { HttpMethod::Post, "POST" },
    { HttpMethod::Put, "PUT" },
    { HttpMethod::Delete, "DELETE" } },
} };

/** The status codes that mastichold's HTTP interfaces return. */
enum class HttpStatus : int
{
  Ok = 200,
  Accepted = 202,
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  Conflict = 409,
  PayloadTooLarge = 413,
  BadGateway = 502,
  ServiceUnavailable = 503,
};

/** The request header that carries the name of the sending process. */
inline constexpr const char* kSenderHeader = "X-Mastichold-From";

/** Identifies a connection of one server; never reused. */
using ConnectionNumber = std::uint64_t;

/** A request as passed to a handler of the server. */
struct HttpRequest
{
  HttpMethod method = HttpMethod::Get;
  /** The path as sent, still percent-encoded, without the query. */
  std::string path;
  /** The decoded values of the route's {placeholders}, in order. */
  std::vector<std::string> captures;
  std::map<std::string, std::string> query;
  std::string authorization;
  /** The value of kSenderHeader; external clients send none. */
  std::string sender;
  std::string body;
  ConnectionNumber connection = 0;
};

/** A complete response, as sent by a handler or received by a client. */
struct HttpResponse
{
  int status = 0;
  std::string body;
  /** Seconds for a Retry-After header; 0 leaves it out. */
  int retryAfterSeconds = 0;
  std::string contentType = "application/json";
  /** A sent response's additional headers; all headers of a received one. */
  std::vector<std::pair<std::string, std::string>> headers{};

  /** Returns a header's value, or null; case doesn't matter in aName. */
  const std::string* FindHeader(const std::string& aName) const;

  /** Returns a response with aBody serialized as JSON. */
  static HttpResponse Json(HttpStatus aStatus, const boost::json::value& aBody);
  /** Returns a response with the body {"error": aText}. */
  static HttpResponse Error(HttpStatus aStatus, std::string_view aText);
};

/** Sends the response to one request; a second Send has no effect. */
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  virtual void Send(HttpResponse aResponse) = 0;
};
using HttpReplyHandle = std::shared_ptr<HttpReply>;

} // namespace Wire
