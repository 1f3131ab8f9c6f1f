#include "Link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <utility>

namespace Review {

/** One forwarded connection. */
class Link::Path final : public std::enable_shared_from_this<Path>
{
public:
  Path(Link& aLink, int aSocket)
    : link_(aLink)
    , near_(bufferevent_socket_new(aLink.loop_.Base(),
                                   aSocket,
                                   BEV_OPT_CLOSE_ON_FREE))
  {
    Attach(near_);
    if (!link_.isCut_)
      Open();
  }
  ~Path()
  {
    bufferevent_free(near_);
    if (far_ != nullptr)
      bufferevent_free(far_);
  }
  Path(const Path&) = delete;
  Path& operator=(const Path&) = delete;

  void SetCut(bool aIsCut)
  {
    for (bufferevent* end : { near_, far_ }) {
      if (end == nullptr)
        continue;
      if (aIsCut)
        bufferevent_disable(end, EV_READ | EV_WRITE);
      else
        bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    if (!aIsCut && far_ == nullptr)
      Open();
  }

private:
  void Open()
  {
    far_ = bufferevent_socket_new(
      link_.loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    Attach(far_);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(link_.target_.port);
    inet_pton(AF_INET, link_.target_.host.c_str(), &address.sin_addr);
    bufferevent_socket_connect(
      far_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    bufferevent_enable(far_, EV_READ | EV_WRITE);
    bufferevent_enable(near_, EV_READ | EV_WRITE);
  }

  void Attach(bufferevent* aEnd)
  {
    bufferevent_setcb(
      aEnd,
      [](bufferevent* aFrom, void* aSelf) {
        static_cast<Path*>(aSelf)->Forward(aFrom);
      },
      nullptr,
      [](bufferevent* aFrom, short aWhat, void* aSelf) {
        static_cast<Path*>(aSelf)->OnEvent(aFrom, aWhat);
      },
      this);
  }

  void Forward(bufferevent* aFrom)
  {
    bufferevent* to = aFrom == near_ ? far_ : near_;
    if (to != nullptr)
      bufferevent_write_buffer(to, bufferevent_get_input(aFrom));
  }

  void OnEvent(bufferevent* aFrom, short aWhat)
  {
    if ((aWhat & BEV_EVENT_CONNECTED) != 0)
      return;
    Forward(aFrom);
    const auto self = shared_from_this();
    link_.paths_.erase(self);
    // What was forwarded last is written before the other end is closed.
    bufferevent* to = aFrom == near_ ? far_ : near_;
    if (to != nullptr)
      bufferevent_flush(to, EV_WRITE, BEV_FLUSH);
    link_.loop_.DeferFor(std::chrono::milliseconds(20), [self] {});
  }

  Link& link_;
  bufferevent* near_;
  bufferevent* far_ = nullptr;
};

Link::Link(Core::Loop& aLoop, Wire::Address aTarget)
  : loop_(aLoop)
  , target_(std::move(aTarget))
  , server_(aLoop, [this](int aSocket) {
    paths_.insert(std::make_shared<Path>(*this, aSocket));
  })
{
  Core::LastReason reason;
  listenAddress_ = server_.Listen({ "127.0.0.1", 0 }, reason).value();
}

Link::~Link() = default;

void
Link::SetCut(bool aIsCut)
{
  isCut_ = aIsCut;
  for (const auto& path : std::set(paths_))
    path->SetCut(aIsCut);
}

void
Link::SilenceOpenConnections()
{
  for (const auto& path : paths_)
    path->SetCut(true);
  silenced_.merge(paths_);
}

} // namespace Review
