#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Loop.h>
#include <LibWire/Address.h>
#include <LibWire/HttpMessage.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace Wire {

/**
 * How far a call got. It determines whether the request may have taken effect
 * at the server.
 */
enum class Delivery
{
  /** A complete response was received. */
  Answered,
  /**
   * No connection was established in time, so the server did not see the
   * request.
   */
  NotSent,
  /** The connection failed after the request may have been sent. */
  Lost,
  /** A timeout of the call passed; the connection is closed, not reused. */
  TimedOut,
};

inline constexpr Core::EnumNames<Delivery, 4> kDeliveryNames{ {
  { { Delivery::Answered, "answered" },
    { Delivery::NotSent, "not_sent" },
    { Delivery::Lost, "lost" },
    { Delivery::TimedOut, "timed_out" } },
} };

/** An HTTP request to another process. */
struct HttpCall
{
  HttpMethod method = HttpMethod::Get;
  /** Path and query. */
  std::string target;
  std::string body;
  /** Sent as a bearer token in the Authorization header, unless empty. */
  std::string secret;
  /** Additional headers as name and value. */
  std::vector<std::pair<std::string, std::string>> headers;
  /**
   * The limit for the complete response, unless stallTimeout is set. The
   * request is sent within this time or not at all.
   */
  Core::Duration timeout{ 0 };
  /**
   * If set, `timeout` is the limit for the first byte of the response, and
   * each later part must arrive within this time of the one before. For large
   * responses, whose duration depends on the bandwidth.
   */
  std::optional<Core::Duration> stallTimeout{};
};

/** The result of a call. */
struct HttpOutcome
{
  Delivery delivery = Delivery::Lost;
  /** Valid only if delivery is Answered. */
  HttpResponse answer{};
  /** Bytes received for this call, headers included, even if it failed. */
  std::size_t receivedBytes = 0;

  bool IsOk() const
  {
    return delivery == Delivery::Answered &&
           answer.status == static_cast<int>(HttpStatus::Ok);
  }
};
using HttpCallback = std::function<void(HttpOutcome)>;

/** A client connection that carries one call at a time. */
class HttpConnection
{
public:
  HttpConnection(Core::Loop& aLoop,
                 const Address& aAddress,
                 std::string aSender);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Makes a call. The callback runs once, and never from within Send. */
  void Send(const HttpCall& aCall, HttpCallback aCallback);

  /** Ends a call in progress, whose callback then never runs. */
  void Cancel();

  bool IsBusy() const { return callback_ != nullptr; }

  /** False after a failed call or Close; the object must then be discarded. */
  bool IsUsable() const { return connection_ != nullptr; }

  /** Bytes received for the call in progress, or for the latest one. */
  std::size_t ReceivedBytes() const { return receivedBytes_; }

  /** Closes the connection; a call in progress ends as Lost. */
  void Close();

private:
  void Finish(HttpOutcome aOutcome);
  void CheckTimeout();
  /** Marks the connection unusable and frees it in a deferred task. */
  void Discard();
  static void OnDone(evhttp_request* aRequest, void* aSelf);
  static void OnInputChanged(evbuffer* aInput,
                             const evbuffer_cb_info* aChange,
                             void* aSelf);
  /** Keeps a request from being sent after its call has timed out. */
  static void OnOutputChanged(evbuffer* aOutput,
                              const evbuffer_cb_info* aChange,
                              void* aSelf);

  Core::Loop& loop_;
  Address address_;
  std::string sender_;
  evhttp_connection* connection_;
  /** Observe the bytes that arrive on connection_, and those to send. */
  evbuffer_cb_entry* inputObserver_ = nullptr;
  evbuffer_cb_entry* outputObserver_ = nullptr;
  std::size_t receivedBytes_ = 0;
  /** When the call times out if no further part of the response arrives. */
  Core::Instant deadline_{};
  Core::Instant sendDeadline_{};
  std::optional<Core::Duration> stallTimeout_;
  HttpCallback callback_;
  Core::TimerHandle timer_;
  bool failedAfterConnect_ = false;
  /** The connection was established after sendDeadline_. */
  bool isTooLate_ = false;
};

} // namespace Wire
