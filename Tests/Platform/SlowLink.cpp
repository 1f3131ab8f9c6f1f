#include "SlowLink.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <map>
#include <stdexcept>
#include <utility>

namespace StandIns {

namespace {

/** How often the link's budget of bytes is refilled. */
constexpr timeval kRefillInterval{ 0, 10'000 };
constexpr std::size_t kRefillsPerSecond = 100;

sockaddr_in
ToSocketAddress(const Wire::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  ::inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  return address;
}

/** A client's connection and the one to the server that serves it. */
class Connection
{
public:
  using EndHandler = std::function<void(const Connection*)>;

  Connection(event_base* aBase,
             int aSocket,
             const Wire::Address& aServer,
             bufferevent_rate_limit_group* aLimit,
             EndHandler aOnEnd)
    : client_(bufferevent_socket_new(aBase, aSocket, BEV_OPT_CLOSE_ON_FREE))
    , server_(bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE))
    , onEnd_(std::move(aOnEnd))
  {
    bufferevent_add_to_rate_limit_group(client_, aLimit);
    for (bufferevent* side : { client_, server_ }) {
      bufferevent_setcb(
        side, &Connection::OnData, nullptr, &Connection::OnEvent, this);
      bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    sockaddr_in address = ToSocketAddress(aServer);
    bufferevent_socket_connect(
      server_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }

  ~Connection()
  {
    bufferevent_remove_from_rate_limit_group(client_);
    bufferevent_free(client_);
    bufferevent_free(server_);
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

private:
  static void OnData(bufferevent* aSide, void* aSelf)
  {
    auto* self = static_cast<Connection*>(aSelf);
    bufferevent* other = aSide == self->client_ ? self->server_ : self->client_;
    bufferevent_write_buffer(other, bufferevent_get_input(aSide));
  }

  static void OnEvent(bufferevent*, short aWhat, void* aSelf)
  {
    if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
      return;
    auto* self = static_cast<Connection*>(aSelf);
    const EndHandler onEnd = self->onEnd_;
    onEnd(self);
  }

  bufferevent* client_;
  bufferevent* server_;
  EndHandler onEnd_;
};

} // namespace

class SlowLink::Link
{
public:
  Link(Core::Loop& aLoop, Wire::Address aServer, std::size_t aRate)
    : base_(aLoop.Base())
    , server_(std::move(aServer))
    // Only writes to clients are limited; reads share no budget.
    , budget_(ev_token_bucket_cfg_new(EV_RATE_LIMIT_MAX,
                                      EV_RATE_LIMIT_MAX,
                                      aRate / kRefillsPerSecond,
                                      aRate / kRefillsPerSecond,
                                      &kRefillInterval))
    , limit_(bufferevent_rate_limit_group_new(base_, budget_))
  {
    sockaddr_in any = ToSocketAddress({ "127.0.0.1", 0 });
    listener_ = evconnlistener_new_bind(base_,
                                        &Link::OnAccept,
                                        this,
                                        LEV_OPT_CLOSE_ON_FREE,
                                        SOMAXCONN,
                                        reinterpret_cast<sockaddr*>(&any),
                                        sizeof(any));
    if (listener_ == nullptr)
      throw std::runtime_error("the slow link can't listen");
    socklen_t size = sizeof(any);
    ::getsockname(evconnlistener_get_fd(listener_),
                  reinterpret_cast<sockaddr*>(&any),
                  &size);
    address_ = { "127.0.0.1", ntohs(any.sin_port) };
  }

  ~Link()
  {
    evconnlistener_free(listener_);
    connections_.clear();
    bufferevent_rate_limit_group_free(limit_);
    ev_token_bucket_cfg_free(budget_);
  }

  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  const Wire::Address& ListenAddress() const { return address_; }

  std::size_t SentBytes() const
  {
    ev_uint64_t read = 0;
    ev_uint64_t written = 0;
    bufferevent_rate_limit_group_get_totals(limit_, &read, &written);
    return static_cast<std::size_t>(written);
  }

private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aSelf)
  {
    auto* self = static_cast<Link*>(aSelf);
    auto connection = std::make_unique<Connection>(
      self->base_,
      aSocket,
      self->server_,
      self->limit_,
      [self](const Connection* aEnded) { self->connections_.erase(aEnded); });
    const Connection* key = connection.get();
    self->connections_.emplace(key, std::move(connection));
  }

  event_base* base_;
  Wire::Address server_;
  ev_token_bucket_cfg* budget_;
  bufferevent_rate_limit_group* limit_;
  evconnlistener* listener_ = nullptr;
  Wire::Address address_;
  std::map<const Connection*, std::unique_ptr<Connection>> connections_;
};

SlowLink::SlowLink(Core::Loop& aLoop, Wire::Address aServer, std::size_t aRate)
  : link_(std::make_unique<Link>(aLoop, std::move(aServer), aRate))
{
}

SlowLink::~SlowLink() = default;

const Wire::Address&
SlowLink::ListenAddress() const
{
  return link_->ListenAddress();
}

std::size_t
SlowLink::SentBytes() const
{
  return link_->SentBytes();
}

} // namespace StandIns
