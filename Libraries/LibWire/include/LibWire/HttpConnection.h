#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Loop.h>
#include <LibWire/Address.h>
#include <LibWire/HttpMessage.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace Wire {

/** How far a call got, which decides what may be said of its effect. */
enum class Delivery
{
  /** A whole answer came back. */
  Answered,
  /** The connection was never made, so the other side saw nothing. */
  NotSent,
  /** The connection broke after the request may have left. */
  Lost,
  /** No answer came in time; the connection is closed and not used again. */
  TimedOut,
};

inline constexpr Core::EnumNames<Delivery, 4> kDeliveryNames{ {
  { { Delivery::Answered, "answered" },
    { Delivery::NotSent, "not_sent" },
    { Delivery::Lost, "lost" },
    { Delivery::TimedOut, "timed_out" } },
} };

/** A call to another process. */
struct HttpCall
{
  HttpMethod method = HttpMethod::Get;
  /** Path and query. */
  std::string target;
  std::string body;
  /** A bearer secret, or empty. */
  std::string secret;
  /** Further headers: names and values. */
  std::vector<std::pair<std::string, std::string>> headers;
  Core::Duration timeout{ 0 };
};

struct HttpOutcome
{
  Delivery delivery = Delivery::Lost;
  HttpAnswer answer;

  bool IsOk() const
  {
    return delivery == Delivery::Answered &&
           answer.status == static_cast<int>(HttpStatus::Ok);
  }
};
using HttpCallback = std::function<void(HttpOutcome)>;

/** One client connection, which carries one call at a time. */
class HttpConnection
{
public:
  HttpConnection(Core::Loop& aLoop,
                 const Address& aAddress,
                 std::string aSender);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Makes a call; the callback runs once, never from inside Send. */
  void Send(const HttpCall& aCall, HttpCallback aCallback);

  bool IsBusy() const { return callback_ != nullptr; }

  /** False once a call has failed; such a connection must be dropped. */
  bool IsUsable() const { return connection_ != nullptr; }

  /** Closes it; a call in progress ends as Lost. */
  void Close();

private:
  void Finish(HttpOutcome aOutcome);
  void Condemn();
  static void OnDone(evhttp_request* aRequest, void* aSelf);

  Core::Loop& loop_;
  Address address_;
  std::string sender_;
  evhttp_connection* connection_;
  HttpCallback callback_;
  Core::TimerHandle timer_;
  bool failedAfterConnect_ = false;
};

} // namespace Wire
