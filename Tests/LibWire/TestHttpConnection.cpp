#define BOOST_TEST_MODULE HttpConnection
#include <LibWire/HttpClient.h>
#include <LibWire/HttpServer.h>
#include <LibWire/Secret.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>
#include <vector>

using namespace Wire;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
  Core::Loop loop;

  /** Opens a listening socket; only the test accepts its connections. */
  static std::pair<int, Address> Listen()
  {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const int bound =
      ::bind(listener, reinterpret_cast<sockaddr*>(&address), size);
    BOOST_REQUIRE(bound == 0);
    ::listen(listener, 4);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    return { listener, { "127.0.0.1", ntohs(address.sin_port) } };
  }
  HttpOutcome Call(HttpConnection& aConnection, milliseconds aTimeout)
  {
    HttpCall call;
    call.target = "/x";
    call.timeout = aTimeout;
    HttpOutcome outcome;
    aConnection.Send(call, [&](HttpOutcome aOutcome) {
      outcome = std::move(aOutcome);
      loop.Stop();
    });
    loop.Run();
    return outcome;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ARefusedConnectionIsNotSent, Fixture)
{
  const auto [listener, address] = Listen();
  ::close(listener);
  HttpConnection connection(loop, address, "");
  BOOST_CHECK(Call(connection, milliseconds(2000)).delivery ==
              Delivery::NotSent);
  BOOST_TEST(!connection.IsUsable());
}

BOOST_FIXTURE_TEST_CASE(AConnectionClosedBeforeTheResponseIsLost, Fixture)
{
  const auto [listener, address] = Listen();
  HttpConnection connection(loop, address, "");
  const auto timer = loop.After(milliseconds(100), [listener = listener] {
    ::close(::accept(listener, nullptr, nullptr));
  });
  BOOST_CHECK(Call(connection, milliseconds(5000)).delivery == Delivery::Lost);
  ::close(listener);
}

BOOST_FIXTURE_TEST_CASE(AnUnresponsiveConnectionTimesOutAndIsNotReused, Fixture)
{
  const auto [listener, address] = Listen();
  HttpConnection connection(loop, address, "");
  BOOST_CHECK(Call(connection, milliseconds(100)).delivery ==
              Delivery::TimedOut);
  BOOST_TEST(!connection.IsUsable());
  BOOST_CHECK(Call(connection, milliseconds(100)).delivery ==
              Delivery::NotSent);
  ::close(listener);
}

/** How a call without a response ends. */
struct AbandonedCallCase
{
  const char* name;
  bool isCancelled;
};

std::ostream&
operator<<(std::ostream& aStream, const AbandonedCallCase& aCase)
{
  return aStream << aCase.name;
}

const AbandonedCallCase kAbandonedCalls[] = {
  { "it times out", false },
  { "it is cancelled", true },
};

/**
 * Guards against a request that takes effect after its sender has given it up,
 * such as a promotion that undoes that of the next holder of the duty. What the
 * network, or here the server's full buffer, holds up must not be delivered
 * later, as it is if the connection is closed without a reset.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AnAbandonedRequestIsNotDeliveredLater,
                       boost::unit_test::data::make(kAbandonedCalls))
{
  constexpr std::size_t kSize = std::size_t{ 16 } << 20U;
  const auto [listener, address] = Listen();
  HttpConnection connection(loop, address, "");
  const auto cancellation = loop.After(milliseconds(200), [&] {
    if (sample.isCancelled)
      connection.Cancel();
    loop.Stop();
  });
  HttpCall call;
  call.method = HttpMethod::Post;
  call.target = "/x";
  call.body = std::string(kSize, 'x');
  call.timeout = milliseconds(sample.isCancelled ? 5000 : 100);
  connection.Send(call, [](const HttpOutcome&) {});
  loop.Run();
  const auto end = loop.After(milliseconds(20), [this] { loop.Stop(); });
  loop.Run();
  const int accepted = ::accept(listener, nullptr, nullptr);
  std::vector<char> buffer(std::size_t{ 1 } << 20U);
  std::size_t total = 0;
  ssize_t received = 0;
  do {
    total += static_cast<std::size_t>(received);
    received = ::recv(accepted, buffer.data(), buffer.size(), 0);
  } while (received > 0);
  BOOST_TEST(received == -1);
  BOOST_TEST(total < kSize);
  ::close(accepted);
  ::close(listener);
}

/** When a process stands still beyond the limit of a call. */
struct StandstillCase
{
  const char* name;
  /** The connection is established already when the process goes on. */
  bool isBeforeThePoll;
};

std::ostream&
operator<<(std::ostream& aStream, const StandstillCase& aCase)
{
  return aStream << aCase.name;
}

const StandstillCase kStandstills[] = {
  { "before it looks for events", true },
  { "between the event of the connection and its handling", false },
};

/**
 * Guards against a request that is sent after its call has timed out, because
 * the process stood still while it connected: the promotion of a former holder
 * of the duty, after that of its successor.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       NoRequestIsSentAfterItsTimeout,
                       boost::unit_test::data::make(kStandstills))
{
  constexpr milliseconds kTimeout{ 50 };
  const auto standStill = [kTimeout] {
    std::this_thread::sleep_for(2 * kTimeout);
  };
  const auto [refusing, refusingAddress] = Listen();
  ::close(refusing);
  const auto [listener, address] = Listen();
  // Its failure is handled in the same pass of the loop, before the event of
  // the other connection.
  HttpConnection refused(loop, refusingAddress, "");
  HttpConnection connection(loop, address, "");
  HttpCall call;
  call.target = "/x";
  call.timeout = kTimeout;
  refused.Send(call, [&](const HttpOutcome&) {
    if (!sample.isBeforeThePoll)
      standStill();
  });
  Delivery delivery = Delivery::Answered;
  connection.Send(
    call, [&](const HttpOutcome& aOutcome) { delivery = aOutcome.delivery; });
  if (sample.isBeforeThePoll)
    standStill();
  const auto end = loop.After(milliseconds(50), [this] { loop.Stop(); });
  loop.Run();
  const int accepted = ::accept(listener, nullptr, nullptr);
  char byte = 0;
  BOOST_TEST(::recv(accepted, &byte, 1, MSG_DONTWAIT) <= 0);
  BOOST_CHECK(delivery == Delivery::NotSent);
  ::close(accepted);
  ::close(listener);
}

/** How a server sends a response of several parts, and what becomes of it. */
struct SlowResponseCase
{
  const char* name;
  int parts;
  /** The number of parts that are sent; fewer than `parts` is a stall. */
  int sentParts;
  bool hasStallTimeout;
  Delivery delivery;
};

std::ostream&
operator<<(std::ostream& aStream, const SlowResponseCase& aCase)
{
  return aStream << aCase.name;
}

const SlowResponseCase kSlowResponses[] = {
  { "all parts, limit for the whole", 8, 8, false, Delivery::TimedOut },
  { "all parts, limit for a stall", 8, 8, true, Delivery::Answered },
  { "a stall before the first part", 8, 0, true, Delivery::TimedOut },
  { "a stall in the middle", 8, 4, true, Delivery::TimedOut },
};

/**
 * A response whose parts keep arriving is received whole, however long it
 * takes, but one that stops arriving ends the call.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AStallTimeoutLimitsTheTimeBetweenParts,
                       boost::unit_test::data::make(kSlowResponses))
{
  constexpr milliseconds kPartInterval{ 50 };
  constexpr milliseconds kTimeout{ 200 };
  const auto [listener, address] = Listen();
  HttpConnection connection(loop, address, "");
  int socket = -1;
  int sent = 0;
  const auto sender =
    loop.Every(kPartInterval, [&, listener = listener, &test = sample] {
      if (socket < 0) {
        socket = ::accept(listener, nullptr, nullptr);
        return;
      }
      if (sent == test.sentParts)
        return;
      std::string part = "xxxx";
      if (sent++ == 0)
        part = "HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(4 * test.parts) + "\r\n\r\n" + part;
      BOOST_TEST(::send(socket, part.data(), part.size(), 0) > 0);
    });
  HttpCall call;
  call.target = "/x";
  call.timeout = kTimeout;
  if (sample.hasStallTimeout)
    call.stallTimeout = kTimeout;
  HttpOutcome outcome;
  connection.Send(call, [&](HttpOutcome aOutcome) {
    outcome = std::move(aOutcome);
    loop.Stop();
  });
  loop.Run();
  BOOST_CHECK(outcome.delivery == sample.delivery);
  BOOST_TEST((outcome.receivedBytes > 0) == (sample.sentParts > 0));
  ::close(socket);
  ::close(listener);
}

/**
 * Guards against a process that ends by SIGPIPE, because the peer of one of its
 * connections has reset it.
 */
BOOST_FIXTURE_TEST_CASE(AServerOutlivesAClientThatResetsItsConnection, Fixture)
{
  HttpServer server(loop);
  HttpReplyHandle pending;
  server.Route(HttpMethod::Get,
               "/x",
               [&](const HttpRequest&, const HttpReplyHandle& aReply) {
                 pending = aReply;
               });
  Core::LastReason reason;
  const auto address = server.Listen({ "127.0.0.1", 0 }, reason);
  BOOST_REQUIRE(address);
  HttpConnection connection(loop, *address, "");
  // The server doesn't read the reset before it sends the response.
  const auto reset = loop.After(milliseconds(50), [&] { connection.Cancel(); });
  const auto response = loop.After(milliseconds(100), [&] {
    pending->Send(HttpResponse::Error(HttpStatus::Ok, "late"));
  });
  const auto end = loop.After(milliseconds(150), [&] { loop.Stop(); });
  HttpCall call;
  call.target = "/x";
  call.timeout = milliseconds(5000);
  connection.Send(call, [](const HttpOutcome&) {});
  loop.Run();
  BOOST_TEST(pending != nullptr);
}

/** A response that nobody awaits must not take bandwidth from the next one. */
BOOST_FIXTURE_TEST_CASE(ACancelledCallClosesItsConnection, Fixture)
{
  const auto [listener, address] = Listen();
  HttpClient client(loop, "");
  HttpCall call;
  call.target = "/x";
  call.timeout = milliseconds(5000);
  bool hasEnded = false;
  const HttpCallId id =
    client.Call(address, call, [&](const HttpOutcome&) { hasEnded = true; });
  ssize_t received = -1;
  const auto server = loop.After(milliseconds(50), [&, listener = listener] {
    const int socket = ::accept(listener, nullptr, nullptr);
    client.Cancel(id);
    loop.Defer([&, socket] {
      std::string request(1024, 'x');
      do
        received = ::recv(socket, request.data(), request.size(), 0);
      while (received > 0);
      ::close(socket);
      loop.Stop();
    });
  });
  loop.Run();
  BOOST_TEST(received <= 0);
  BOOST_TEST(!hasEnded);
  BOOST_TEST(client.Connections() == 0U);
  ::close(listener);
}

BOOST_FIXTURE_TEST_CASE(AServerDispatchesToItsRoutes, Fixture)
{
  HttpServer server(loop);
  server.Route(HttpMethod::Get,
               "/{word}",
               [](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
                 HttpResponse response;
                 response.status = 200;
                 response.body = aRequest.captures[0];
                 aReply->Send(std::move(response));
               });
  Core::LastReason reason;
  const auto address = server.Listen({ "127.0.0.1", 0 }, reason);
  BOOST_REQUIRE(address);
  HttpConnection connection(loop, *address, "");
  const HttpOutcome outcome = Call(connection, milliseconds(2000));
  BOOST_TEST(outcome.IsOk());
  BOOST_TEST(outcome.answer.body == "x");
  BOOST_TEST(connection.IsUsable());
}

BOOST_FIXTURE_TEST_CASE(AnOversizedBodyGetsAReadableResponse, Fixture)
{
  constexpr std::size_t kOversized = std::size_t{ 5 } << 20U;
  HttpServer server(loop);
  server.Route(HttpMethod::Post,
               "/x",
               [](const HttpRequest&, const HttpReplyHandle& aReply) {
                 aReply->Send(
                   HttpResponse::Error(HttpStatus::Ok, "not reached"));
               });
  Core::LastReason reason;
  const auto address = server.Listen({ "127.0.0.1", 0 }, reason);
  BOOST_REQUIRE(address);
  HttpConnection connection(loop, *address, "");
  HttpCall call;
  call.method = HttpMethod::Post;
  call.target = "/x";
  call.body.assign(kOversized, 'x');
  call.timeout = milliseconds(10'000);
  HttpOutcome outcome;
  connection.Send(call, [&](HttpOutcome aOutcome) {
    outcome = std::move(aOutcome);
    loop.Stop();
  });
  loop.Run();
  BOOST_CHECK(outcome.delivery == Delivery::Answered);
  BOOST_TEST(outcome.answer.status ==
             static_cast<int>(HttpStatus::PayloadTooLarge));
}

BOOST_AUTO_TEST_CASE(OnlyTheCompleteSecretMatches)
{
  BOOST_TEST(IsBearerOf("Bearer abc", "abc"));
  for (const char* wrong : { "",
                             "abc",
                             "Bearer ab",
                             "Bearer abcd",
                             "Bearer ",
                             "Bearer abcabc",
                             "bearer abc" })
    BOOST_TEST(!IsBearerOf(wrong, "abc"));
  BOOST_TEST(!IsBearerOf("Bearer ", ""));
}
