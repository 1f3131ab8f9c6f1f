#include "Platform.h"

#include "Base64.h"

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <stdexcept>

namespace Review {

namespace {

/** The site's sheet: 4 ms an answer. */
constexpr Core::Duration kStoreAnswerTime = std::chrono::milliseconds(4);

/** How often the promote call's sockets are looked at. */
constexpr Core::Duration kCloudPoll = std::chrono::milliseconds(2);

std::string
Query(const Wire::HttpRequest& aRequest, const std::string& aName)
{
  const auto value = aRequest.query.find(aName);
  return value == aRequest.query.end() ? "" : value->second;
}

Wire::HttpResponse
Status(int aStatus)
{
  Wire::HttpResponse response;
  response.status = aStatus;
  response.body = R"({"rows":[]})";
  return response;
}

} // namespace

Store::Store(Core::Loop& aLoop)
  : loop_(aLoop)
  , server_(aLoop)
{
  const auto route =
    [this](Wire::HttpMethod aMethod,
           const std::string& aPath,
           void (Store::*aHandler)(const Wire::HttpRequest&,
                                   const Wire::HttpReplyHandle&)) {
      server_.Route(aMethod,
                    aPath,
                    [this, aHandler](const Wire::HttpRequest& aRequest,
                                     const Wire::HttpReplyHandle& aReply) {
                      loop_.DeferFor(kStoreAnswerTime,
                                     [this, aHandler, aRequest, aReply] {
                                       (this->*aHandler)(aRequest, aReply);
                                     });
                    });
    };
  route(Wire::HttpMethod::Get, "/rows-get", &Store::Get);
  route(Wire::HttpMethod::Get, "/rows-feed", &Store::Feed);
  route(Wire::HttpMethod::Post, "/rows-tx", &Store::Transact);
}

Wire::Address
Store::Listen()
{
  Core::LastReason reason;
  return server_.Listen({ "127.0.0.1", 0 }, reason).value();
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
{
  tables_[aTable][aKey] = { aValue, ++version_, false };
  Wake();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  tables_[aTable][aKey] = { "", ++version_, true };
  Wake();
}

boost::json::array
Store::Changes(const std::string& aTable, std::uint64_t aAfter)
{
  std::map<std::uint64_t, boost::json::array> byVersion;
  for (const auto& [key, row] : tables_[aTable]) {
    if (row.version <= aAfter || (aAfter == 0 && row.isRemoved))
      continue;
    boost::json::object item{ { "table", aTable },
                              { "part", "" },
                              { "key", key },
                              { "ver", row.version } };
    if (row.isRemoved)
      item["removed"] = true;
    else
      item["value"] = Adapter::EncodeBase64(row.value);
    byVersion[row.version].push_back(std::move(item));
  }
  boost::json::array rows;
  for (auto& [version, items] : byVersion)
    for (auto& item : items)
      rows.push_back(std::move(item));
  return rows;
}

void
Store::Answer(const Wire::HttpReplyHandle& aTo, boost::json::array aRows)
{
  aTo->Send(Wire::HttpResponse::Json(
    Wire::HttpStatus::Ok,
    boost::json::object{
      { "rows", std::move(aRows) },
      { "has-more", false },
      { "ver", version_ },
      { "now-ms", Core::ToMilliseconds(loop_.Now().time_since_epoch()) } }));
}

void
Store::Get(const Wire::HttpRequest& aRequest, const Wire::HttpReplyHandle& aTo)
{
  const std::string table = Query(aRequest, "table");
  const std::string from = Query(aRequest, "from");
  boost::json::array rows;
  for (const auto& [key, row] : tables_[table]) {
    if (row.isRemoved || key < from)
      continue;
    rows.push_back(
      boost::json::object{ { "table", table },
                           { "part", "" },
                           { "key", key },
                           { "ver", row.version },
                           { "value", Adapter::EncodeBase64(row.value) } });
  }
  Answer(aTo, std::move(rows));
}

void
Store::Feed(const Wire::HttpRequest& aRequest, const Wire::HttpReplyHandle& aTo)
{
  const std::string table = Query(aRequest, "table");
  const std::uint64_t after = std::stoull(Query(aRequest, "after"));
  boost::json::array rows = Changes(table, after);
  const long long wait = std::stoll(Query(aRequest, "wait-ms"));
  if (!rows.empty() || wait == 0) {
    Answer(aTo, std::move(rows));
    return;
  }
  const std::uint64_t number = ++lastWaiter_;
  waiters_[number] = { table, after, aTo, nullptr };
  waiters_[number].timer =
    loop_.After(std::chrono::milliseconds(wait), [this, number] {
      const auto node = waiters_.extract(number);
      Answer(node.mapped().reply, {});
    });
}

void
Store::Wake()
{
  const auto waiting = std::exchange(waiters_, {});
  for (const auto& [number, waiter] : waiting) {
    boost::json::array rows = Changes(waiter.table, waiter.after);
    if (rows.empty())
      waiters_.emplace(number, waiter);
    else
      Answer(waiter.reply, std::move(rows));
  }
}

void
Store::Transact(const Wire::HttpRequest& aRequest,
                const Wire::HttpReplyHandle& aTo)
{
  const boost::json::value body = boost::json::parse(aRequest.body);
  const auto field = [](const boost::json::value& aRow, const char* aName) {
    return std::string(aRow.at(aName).as_string());
  };
  for (const auto& condition : body.at("expected-rev").as_array()) {
    const Row& row =
      tables_[field(condition, "table")][field(condition, "key")];
    const std::uint64_t current = row.isRemoved ? 0 : row.version;
    if (current == condition.at("ver").to_number<std::uint64_t>())
      continue;
    aTo->Send(Status(412));
    return;
  }
  const std::uint64_t version = ++version_;
  for (const auto& put : body.at("puts").as_array()) {
    const std::string value =
      Adapter::DecodeBase64(field(put, "value")).value();
    tables_[field(put, "table")][field(put, "key")] = { value, version, false };
    if (observer_)
      observer_(field(put, "key"), value);
  }
  for (const auto& name : body.at("remove").as_array())
    tables_[field(name, "table")][field(name, "key")] = { "", version, true };
  Answer(aTo, {});
  Wake();
}

/** One connection to the promote call; answers each complete request. */
class Cloud::Connection
{
public:
  Connection(int aSocket, const Handler& aHandler)
    : socket_(aSocket)
    , handler_(aHandler)
  {
    fcntl(socket_, F_SETFL, O_NONBLOCK);
  }
  ~Connection() { close(socket_); }

  /** Returns false once the peer has closed it. */
  bool Poll()
  {
    char bytes[4096];
    for (;;) {
      const ssize_t count = recv(socket_, bytes, sizeof bytes, 0);
      if (count > 0) {
        input_.append(bytes, static_cast<std::size_t>(count));
        continue;
      }
      Serve();
      return count < 0 && errno == EAGAIN;
    }
  }

private:
  std::string Header(const std::string& aName) const
  {
    for (std::size_t at = input_.find("\r\n"); at != std::string::npos;
         at = input_.find("\r\n", at + 2)) {
      if (input_.compare(at + 2, aName.size() + 1, aName + ":") != 0)
        continue;
      const std::size_t begin =
        input_.find_first_not_of(' ', at + 2 + aName.size() + 1);
      return input_.substr(begin, input_.find("\r\n", begin) - begin);
    }
    return "";
  }

  void Serve()
  {
    const std::size_t end = input_.find("\r\n\r\n");
    if (end == std::string::npos)
      return;
    const std::size_t length = std::stoul("0" + Header("Content-Length"));
    if (input_.size() < end + 4 + length)
      return;
    const auto body = boost::json::parse(input_.substr(end + 4, length));
    PromoteCall call;
    call.service = std::string(body.at("service").as_string());
    call.id = std::string(body.at("id").as_string());
    call.holder = Header("X-Lease-Holder");
    call.token = std::stoull("0" + Header("X-Fencing-Token"));
    input_.erase(0, end + 4 + length);
    const std::string answer =
      std::string("HTTP/1.1 ") + (handler_(call) ? "200 OK" : "409 Conflict") +
      "\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    (void)send(socket_, answer.data(), answer.size(), MSG_NOSIGNAL);
  }

  int socket_;
  const Handler& handler_;
  std::string input_;
};

Cloud::Cloud(Core::Loop& aLoop, Handler aHandler)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
{
}

Cloud::~Cloud()
{
  for (const int filler : fillers_)
    close(filler);
  close(socket_);
}

Wire::Address
Cloud::Listen()
{
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(socket_, 0) != 0)
    throw std::runtime_error("can't listen");
  socklen_t size = sizeof address;
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = { "127.0.0.1", ntohs(address.sin_port) };
  Heal();
  return address_;
}

void
Cloud::CutOff()
{
  acceptTimer_.reset();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(address_.port);
  for (int i = 0; i < 3; ++i) {
    const int filler =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    (void)connect(
      filler, reinterpret_cast<sockaddr*>(&address), sizeof address);
    fillers_.push_back(filler);
  }
}

void
Cloud::Heal()
{
  for (const int filler : fillers_)
    close(filler);
  fillers_.clear();
  acceptTimer_ = loop_.Every(kCloudPoll, [this] { Accept(); });
}

void
Cloud::Accept()
{
  for (;;) {
    const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0)
      break;
    connections_.push_back(std::make_unique<Connection>(accepted, handler_));
  }
  std::erase_if(connections_,
                [](const auto& aConnection) { return !aConnection->Poll(); });
}

} // namespace Review
