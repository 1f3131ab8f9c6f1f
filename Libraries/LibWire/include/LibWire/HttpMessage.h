#pragma once

#include <LibCore/EnumNames.h>

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
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

/** The statuses that mastichold's interfaces answer with. */
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

/** The header in which a process names itself to the one that it calls. */
inline constexpr const char* kSenderHeader = "X-Mastichold-From";

/** Tells the connections of one server apart; never used twice. */
using ConnectionNumber = std::uint64_t;

/** A request as a server's handler sees it. */
struct HttpRequest
{
  HttpMethod method = HttpMethod::Get;
  /** The path as sent, still percent-encoded, without the query. */
  std::string path;
  /** The values of the route's {placeholders}, in order, decoded. */
  std::vector<std::string> captures;
  std::map<std::string, std::string> query;
  std::string authorization;
  /** What the caller put in kSenderHeader; empty for outsiders. */
  std::string sender;
  std::string body;
  ConnectionNumber connection = 0;
};

/** A whole answer, as a handler gives it or a client gets it. */
struct HttpAnswer
{
  int status = 0;
  std::string body;
  /** Seconds for a Retry-After header; 0 leaves it out. */
  int retryAfterSeconds = 0;
  std::string contentType = "application/json";

  static HttpAnswer Json(HttpStatus aStatus, const boost::json::value& aBody);
  /** {"error": aText} */
  static HttpAnswer Error(HttpStatus aStatus, std::string_view aText);
};

/** The one answer that a request is owed; sending twice does nothing. */
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  virtual void Send(HttpAnswer aAnswer) = 0;
};
using HttpReplyHandle = std::shared_ptr<HttpReply>;

} // namespace Wire
