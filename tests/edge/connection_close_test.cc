#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "base/byte_counter_type.h"
#include "clock/now_func.h"
#include "edge/server.h"
#include "tests/edge/pipelining_fixture.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// More than the receive window of a new loopback connection, and less than the
// send buffer, so that the kernel still holds a part of the response when the
// server has written all of it.
constexpr std::size_t kBufferedResponseBytes = 400'000;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionCloseSuite, PipeliningFixture)

// Guards against a last response that is cut off because the caller sends a
// further request before it has read the response: input that arrives at a
// closed socket makes the kernel reset the connection.
BOOST_AUTO_TEST_CASE(LastResponseReachesCallerThatSendsOn) {
  this->Send(Get("/1"));
  HttpResponse response(http::status::ok, 11);
  response.body() = std::string(kBufferedResponseBytes, 'x') + "[end]";
  response.set(http::field::connection, "close");
  this->running.at("/1")->Respond(std::move(response));
  this->loop.restart();
  this->loop.poll();
  asio::write(this->socket, asio::buffer(Get("/2")));
  for (int i = 0; i < 100 && !this->is_closed; ++i)
    this->Run();
  BOOST_TEST(this->Bodies() == "[end]");
  BOOST_TEST(this->started.size() == 1U);
}

// Guards against a connection that stays open because its caller does not close
// it after the last response.
BOOST_AUTO_TEST_CASE(ConnectionOfCallerThatStaysIsClosed) {
  this->Send(Get("/1"));
  this->Respond("/1", true);
  BOOST_TEST(this->is_closed);
  BOOST_TEST(this->server->BusySessionCount() == 0U);
  this->running.clear();
  this->server->CloseExpiredSessions(clock::Now() + std::chrono::seconds(3));
  this->Run();
  this->server->CloseExpiredSessions(clock::Now());
  BOOST_TEST(this->server->ConnectionCount() == 0U);
}

// Guards against a draining server that closes a new connection before its
// first request, which then gets no response although the address still serves
// callers.
BOOST_AUTO_TEST_CASE(DrainingServesTheFirstRequestOfAConnection) {
  this->Run();
  this->server->CloseAfterResponses();
  this->server->CloseExpiredSessions(clock::Now());
  this->Run();
  BOOST_REQUIRE(!this->is_closed);
  this->Send(Get("/1"));
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1]");
  BOOST_TEST(this->is_closed);
}

// Guards against a draining server that closes a connection as idle although a
// request has arrived on it that has not been read yet.
BOOST_AUTO_TEST_CASE(DrainingServesRequestsThatHaveArrived) {
  this->Send(Get("/1"));
  this->Respond("/1");
  this->server->CloseAfterResponses();
  asio::write(this->socket, asio::buffer(Get("/2")));
  this->server->CloseExpiredSessions(clock::Now());
  this->Run();
  BOOST_REQUIRE(this->started.size() == 2U);
  this->Respond("/2");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
  BOOST_TEST(this->is_closed);
}

// Guards against the same when the idle timeout ends, as it does during a pause
// of the process.
BOOST_AUTO_TEST_CASE(IdleTimeoutLeavesRequestsThatHaveArrived) {
  this->Send(Get("/1"));
  this->Respond("/1");
  asio::write(this->socket, asio::buffer(Get("/2")));
  this->server->CloseExpiredSessions(clock::Now() + std::chrono::hours(1));
  this->Run();
  BOOST_REQUIRE(this->started.size() == 2U);
  this->Respond("/2");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
}

// Guards against a draining server that keeps idle connections open, whose
// callers then do not look for another server.
BOOST_AUTO_TEST_CASE(DrainingClosesIdleConnections) {
  this->Send(Get("/1"));
  this->Respond("/1");
  this->server->CloseAfterResponses();
  this->server->CloseExpiredSessions(clock::Now());
  this->Run();
  BOOST_TEST(this->is_closed);
}

// Guards against a request that is started although it counts as not read,
// because the rest of it arrived after a response before it was known to close
// the connection.
BOOST_AUTO_TEST_CASE(RequestReadBehindClosingResponseIsNotStarted) {
  this->Send(Get("/1") + Get("/2") +
             "POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\no");
  this->Respond("/2", true);
  this->Send("ne");
  BOOST_TEST(this->started.size() == 2U);
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
  BOOST_TEST(this->is_closed);
}

// Guards against an incomplete body that takes up memory without being counted,
// because its request was given up while the body was still being read, and
// against one that stays counted after the caller has closed the connection.
BOOST_AUTO_TEST_CASE(BodyOfGivenUpRequestStaysCounted) {
  constexpr std::uint64_t kBodyBytes = 1000;
  const auto counter = std::make_shared<base::ByteCounter>();
  this->server->SetMemoryCounter(counter);
  this->Send(Get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
             std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(10, 'x'));
  // The body, and its copy for an upstream.
  BOOST_TEST(counter->bytes == 2 * kBodyBytes);
  this->server->CloseExpiredSessions(clock::Now() + std::chrono::seconds(30));
  BOOST_TEST(counter->bytes == kBodyBytes);
  this->Respond("/1");
  this->socket.close();
  this->Run();
  BOOST_TEST(counter->bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::edge
