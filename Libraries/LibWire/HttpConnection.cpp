#include <LibWire/HttpConnection.h>

#include <LibCore/Log.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <utility>

namespace Wire {

namespace {

evhttp_cmd_type
CommandOf(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return EVHTTP_REQ_GET;
    case HttpMethod::Post:
      return EVHTTP_REQ_POST;
    case HttpMethod::Put:
      return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
      return EVHTTP_REQ_DELETE;
  }
  std::abort();
}

/**
 * Lets the close of a socket reset its connection. Bytes of a request that the
 * network holds up are then lost, instead of arriving after the sender has
 * given the request up.
 */
void
ResetOnClose(evutil_socket_t aSocket)
{
  if (aSocket < 0)
    return;
  const linger option{ .l_onoff = 1, .l_linger = 0 };
  if (::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option)) !=
      0)
    Core::LogChange("socket_option_not_set",
                    { { "option", "linger" }, { "errno", errno } });
}

} // namespace

HttpConnection::HttpConnection(Core::Loop& aLoop,
                               const Address& aAddress,
                               std::string aSender)
  : loop_(aLoop)
  , address_(aAddress)
  , sender_(std::move(aSender))
  , connection_(evhttp_connection_base_new(aLoop.Base(),
                                           nullptr,
                                           aAddress.host.c_str(),
                                           aAddress.port))
{
  if (connection_ == nullptr)
    return;
  bufferevent* events = evhttp_connection_get_bufferevent(connection_);
  inputObserver_ = evbuffer_add_cb(
    bufferevent_get_input(events), &HttpConnection::OnInputChanged, this);
  outputObserver_ = evbuffer_add_cb(
    bufferevent_get_output(events), &HttpConnection::OnOutputChanged, this);
}

HttpConnection::~HttpConnection()
{
  Cancel();
}

void
HttpConnection::Send(const HttpCall& aCall, HttpCallback aCallback)
{
  callback_ = std::move(aCallback);
  failedAfterConnect_ = false;
  isTooLate_ = false;
  receivedBytes_ = 0;
  if (connection_ == nullptr) {
    timer_ = loop_.After(Core::Duration::zero(),
                         [this] { Finish({ Delivery::NotSent }); });
    return;
  }
  evhttp_request* request = evhttp_request_new(&HttpConnection::OnDone, this);
  // libevent calls this for failures after the connection was established, but
  // not for a refused connection; the flag distinguishes the two.
  evhttp_request_set_error_cb(request, [](evhttp_request_error, void* aSelf) {
    static_cast<HttpConnection*>(aSelf)->failedAfterConnect_ = true;
  });
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address_.host.c_str());
  evhttp_add_header(headers, kSenderHeader, sender_.c_str());
  if (!aCall.secret.empty())
    evhttp_add_header(
      headers, "Authorization", ("Bearer " + aCall.secret).c_str());
  for (const auto& [name, value] : aCall.headers)
    evhttp_add_header(headers, name.c_str(), value.c_str());
  if (!aCall.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 aCall.body.data(),
                 aCall.body.size());
  }
  deadline_ = loop_.Now() + aCall.timeout;
  sendDeadline_ = deadline_;
  stallTimeout_ = aCall.stallTimeout;
  timer_ = loop_.After(aCall.timeout, [this] { CheckTimeout(); });
  if (evhttp_make_request(
        connection_, request, CommandOf(aCall.method), aCall.target.c_str()) ==
      0)
    return;
  Discard();
  timer_ = loop_.After(Core::Duration::zero(),
                       [this] { Finish({ Delivery::NotSent }); });
}

void
HttpConnection::OnInputChanged(evbuffer*,
                               const evbuffer_cb_info* aChange,
                               void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  if (aChange->n_added == 0 || self->callback_ == nullptr)
    return;
  const bool isFirstPart = self->receivedBytes_ == 0;
  self->receivedBytes_ += aChange->n_added;
  if (!self->stallTimeout_)
    return;
  self->deadline_ = self->loop_.Now() + *self->stallTimeout_;
  // The timer of the first part may be far too late for a stall.
  if (isFirstPart)
    self->CheckTimeout();
}

void
HttpConnection::OnOutputChanged(evbuffer*,
                                const evbuffer_cb_info* aChange,
                                void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  if (aChange->n_added == 0 || self->loop_.Now() < self->sendDeadline_)
    return;
  // After a standstill the event of the connection precedes the due timer.
  self->isTooLate_ = true;
  Core::LogChange("call_not_sent", { { "address", self->address_.ToText() } });
  ::shutdown(
    bufferevent_getfd(evhttp_connection_get_bufferevent(self->connection_)),
    SHUT_RDWR);
}

void
HttpConnection::CheckTimeout()
{
  const Core::Instant now = loop_.Now();
  if (now < deadline_) {
    timer_ = loop_.After(deadline_ - now, [this] { CheckTimeout(); });
    return;
  }
  Discard();
  Finish({ isTooLate_ ? Delivery::NotSent : Delivery::TimedOut });
}

void
HttpConnection::OnDone(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  if (self->callback_ == nullptr)
    return;
  const int status =
    aRequest != nullptr ? evhttp_request_get_response_code(aRequest) : 0;
  if (status == 0) {
    const bool refused = aRequest != nullptr && !self->failedAfterConnect_;
    const bool isUnsent = refused || self->isTooLate_;
    self->Discard();
    self->Finish({ isUnsent ? Delivery::NotSent : Delivery::Lost });
    return;
  }
  HttpOutcome outcome;
  outcome.delivery = Delivery::Answered;
  outcome.answer.status = status;
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next)
    outcome.answer.headers.emplace_back(header->key, header->value);
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  outcome.answer.body.resize(evbuffer_get_length(input));
  evbuffer_remove(
    input, outcome.answer.body.data(), outcome.answer.body.size());
  // Deferred, because the callback may destroy this connection while libevent
  // still uses it.
  self->timer_ = self->loop_.After(
    Core::Duration::zero(),
    [self, result = std::move(outcome)] { self->Finish(result); });
}

void
HttpConnection::Finish(HttpOutcome aOutcome)
{
  timer_.reset();
  aOutcome.receivedBytes = receivedBytes_;
  const HttpCallback callback = std::exchange(callback_, nullptr);
  if (callback)
    callback(std::move(aOutcome));
}

void
HttpConnection::Cancel()
{
  timer_.reset();
  Discard();
  callback_ = nullptr;
}

void
HttpConnection::Close()
{
  Discard();
  if (callback_ == nullptr)
    return;
  timer_ =
    loop_.After(Core::Duration::zero(), [this] { Finish({ Delivery::Lost }); });
}

void
HttpConnection::Discard()
{
  if (connection_ == nullptr)
    return;
  bufferevent* events = evhttp_connection_get_bufferevent(connection_);
  evbuffer_remove_cb_entry(bufferevent_get_input(events), inputObserver_);
  evbuffer_remove_cb_entry(bufferevent_get_output(events), outputObserver_);
  if (IsBusy())
    ResetOnClose(bufferevent_getfd(events));
  const std::shared_ptr<evhttp_connection> connection(
    std::exchange(connection_, nullptr), &evhttp_connection_free);
  // libevent may be handling this connection further up the call stack, so the
  // deferred task frees it.
  loop_.Defer([connection] {});
}

} // namespace Wire
