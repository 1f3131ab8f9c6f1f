#define BOOST_TEST_MODULE HttpConnection
#include <LibWire/HttpConnection.h>
#include <LibWire/HttpServer.h>
#include <LibWire/Secret.h>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

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
