#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "clock/now_func.h"
#include "edge/server.h"
#include "tests/edge/pipelining_fixture.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PipeliningSuite, PipeliningFixture)

// Guards against requests that wait for a slow one before them, and against
// responses out of order.
BOOST_AUTO_TEST_CASE(RequestsRunConcurrentlyAndAreAnsweredInOrder) {
  this->Send(Get("/1") + Get("/2") + Get("/3"));
  BOOST_TEST(this->started == (Targets{"/1", "/2", "/3"}),
             boost::test_tools::per_element());
  this->Respond("/3");
  this->Respond("/2");
  BOOST_TEST(this->Bodies().empty());
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1][/2][/3]");
}

// Guards against an order that runs before the responses ahead of it are sent.
BOOST_AUTO_TEST_CASE(OrderWaitsForAllResponsesBeforeIt) {
  this->Send(Get("/1") + Get("/2") + Post("/order", "x") + Get("/3"));
  this->Respond("/2");
  BOOST_TEST(this->started.size() == 2U);
  this->Respond("/1");
  BOOST_TEST(this->started == (Targets{"/1", "/2", "/order", "/3"}),
             boost::test_tools::per_element());
  this->Respond("/3");
  this->Respond("/order");
  BOOST_TEST(this->Bodies() == "[/1][/2][/order][/3]");
}

// Guards against requests that run or are answered behind a response that
// closes the connection.
BOOST_AUTO_TEST_CASE(ClosingResponseEndsTheRequestsBehindIt) {
  this->Send(Get("/1") + Get("/2") + Get("/3") + Post("/order", "x") +
             Get("/5"));
  this->Respond("/3");
  this->Respond("/2", true);
  BOOST_TEST(!this->is_closed);
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
  BOOST_TEST(this->CountReceived("Connection: close") == 1U);
  BOOST_TEST(this->is_closed);
  BOOST_TEST(this->started.size() == 3U);
}

// Guards against a running request behind a closing response whose upstream
// goes on working.
BOOST_AUTO_TEST_CASE(RunningRequestBehindClosingResponseIsCancelled) {
  this->Send(Get("/1") + Get("/2"));
  this->Respond("/1", true);
  BOOST_TEST(this->cancelled == Targets{"/2"},
             boost::test_tools::per_element());
  BOOST_TEST(this->Bodies() == "[/1]");
  BOOST_TEST(this->is_closed);
}

// Guards against a rejection that is sent before its turn or that cuts off the
// responses before it, and against requests behind it that run.
BOOST_AUTO_TEST_CASE(RejectionIsSentInItsTurn) {
  this->Send(Get("/1") + "GET /2 HTTP/1.1\r\n\r\n" + Get("/3"));
  BOOST_TEST(this->received.empty());
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1][host_missing_or_repeated]");
  BOOST_TEST(this->started == Targets{"/1"}, boost::test_tools::per_element());
  BOOST_TEST(this->is_closed);
}

// Guards against a rejection that never reaches the caller, because unread
// input makes the kernel reset the connection.
BOOST_AUTO_TEST_CASE(RejectionReachesCallerThatSendsOn) {
  this->Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" +
             std::string(200000, 'x'));
  this->Run();
  BOOST_TEST(this->Bodies() == "[body_too_large]");
  boost::system::error_code error;
  char byte = 0;
  this->socket.read_some(asio::buffer(&byte, 1), error);
  BOOST_TEST(error == asio::error::eof);
}

// Guards against requests that go on after their caller has closed the
// connection.
BOOST_AUTO_TEST_CASE(AllRequestsEndWithTheConnection) {
  this->Send(Get("/1") + Get("/2") + Post("/order", "x"));
  this->socket.close();
  this->Run();
  BOOST_TEST(this->cancelled == (Targets{"/1", "/2"}),
             boost::test_tools::per_element());
  BOOST_TEST(this->started.size() == 2U);
  BOOST_TEST(this->server->BusySessionCount() == 0U);
}

// Guards against a closed connection that is not noticed because it has unread
// input.
BOOST_AUTO_TEST_CASE(CloseBehindUnreadInputIsDetected) {
  this->Send(Get("/1") + Get("/2") + Get("/3") + Get("/4"));
  this->Send(Get("/5"));
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  this->Run();
  this->server->CloseExpiredSessions(clock::Now());
  BOOST_TEST(this->cancelled.size() == 4U);
}

// Guards against unlimited reading from one connection.
BOOST_AUTO_TEST_CASE(ReadingStopsAtTheLimitOfRequests) {
  this->Send(Get("/1") + Get("/2") + Get("/3") + Get("/4") + Get("/5"));
  BOOST_TEST(this->started.size() == 4U);
  this->Respond("/2");
  BOOST_TEST(this->started.size() == 4U);
  this->Respond("/1");
  BOOST_TEST(this->started.size() == 5U);
}

// Guards against unlimited buffers for one connection, by waiting responses and
// by request bodies.
BOOST_AUTO_TEST_CASE(ReadingStopsAtTheLimitOfBytes) {
  this->Send(Get("/1") + Get("/2"));
  this->Respond("/2", false, 1600);
  this->Send(Get("/3"));
  BOOST_TEST(this->started.size() == 2U);
  this->Respond("/1");
  BOOST_TEST(this->started.size() == 3U);
  this->Respond("/3");
  this->Send(Post("/4", std::string(1600, 'x')) + Get("/5"));
  BOOST_TEST(this->started.size() == 4U);
  this->Respond("/4");
  this->Respond("/5");
  BOOST_TEST(this->Bodies() == "[/1][/2][/3][/4][/5]");
}

// Guards against a request that is rejected for lack of space which the request
// before it on the same connection takes up.
BOOST_AUTO_TEST_CASE(BodyWaitsForSpace) {
  Limits limits = this->server->GetLimits();
  limits.max_pipelined_bytes = 10000;
  this->server->SetLimits(limits);
  const std::string body(1400, 'x');
  this->Send(Post("/1", body) + Post("/2", body) + Post("/3", body));
  BOOST_TEST(this->started.size() == 2U);
  this->Respond("/1");
  BOOST_TEST(this->started.size() == 3U);
  this->Respond("/2");
  this->Respond("/3");
  BOOST_TEST(this->Bodies() == "[/1][/2][/3]");
}

// Guards against "100 Continue" before the responses to the requests before it,
// which the caller would take for the answer to one of them.
BOOST_AUTO_TEST_CASE(ContinueIsSentInItsTurn) {
  this->Send(Get("/1") +
             "POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
             "Content-Length: 3\r\n\r\n");
  BOOST_TEST(this->received.empty());
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1]");
  BOOST_TEST(this->received.ends_with("HTTP/1.1 100 Continue\r\n\r\n"));
  this->Send("one");
  this->Respond("/2");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
}

// Guards against requests that are read behind one that asks for the close, as
// HTTP/1.0 requests do.
BOOST_AUTO_TEST_CASE(NothingIsReadBehindRequestThatAsksForClose) {
  this->Send(Get("/1") + "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n" + Get("/3"));
  BOOST_TEST(this->started.size() == 2U);
  this->Respond("/2");
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
  BOOST_TEST(this->CountReceived("HTTP/1.0 200") == 1U);
  BOOST_TEST(this->is_closed);
}

// Guards against the body of a response to a HEAD request, which the caller
// would take for the next response.
BOOST_AUTO_TEST_CASE(ResponseToHeadHasNoBody) {
  this->Send(Get("/1") + "HEAD /2 HTTP/1.1\r\nHost: a\r\n\r\n" + Get("/3"));
  this->Respond("/2");
  this->Respond("/3");
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1][/3]");
  BOOST_TEST(this->CountReceived("200 OK") == 3U);
}

// Guards against a draining server that closes the connection before the
// responses to requests that are being processed.
BOOST_AUTO_TEST_CASE(DrainingClosesAfterTheStartedRequests) {
  this->Send(Get("/1") + Get("/2") + Post("/order", "x"));
  this->server->CloseAfterResponses();
  this->Send(Get("/4"));
  this->Respond("/1");
  BOOST_TEST(this->CountReceived("Connection: close") == 0U);
  this->Respond("/2");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
  BOOST_TEST(this->CountReceived("Connection: close") == 1U);
  BOOST_TEST(this->is_closed);
  BOOST_TEST(this->started.size() == 2U);
}

// Guards against an incomplete request that cuts off the responses to those
// before it.
BOOST_AUTO_TEST_CASE(ReadTimeoutLeavesRequestsBeforeItInProgress) {
  this->Send(Get("/1") + "GET /2 HTT");
  this->server->CloseExpiredSessions(clock::Now() + std::chrono::seconds(30));
  this->Respond("/1");
  BOOST_TEST(this->Bodies() == "[/1]");
  BOOST_TEST(this->CountReceived("Connection: close") == 1U);
  BOOST_TEST(this->is_closed);
}

// Guards against a streamed response that starts before its turn.
BOOST_AUTO_TEST_CASE(StreamedResponseWaitsForItsTurn) {
  this->Send(Get("/1") + Get("/2"));
  bool is_started = false;
  HttpHeader header;
  header.result(http::status::ok);
  this->running.at("/2")->StartStream(
      header, [&is_started](bool is_written) { is_started = is_written; });
  this->Run();
  BOOST_TEST(!is_started);
  this->Respond("/1");
  BOOST_TEST(is_started);
  bool is_written = false;
  this->running.at("/2")->WritePart(
      "[part]", [&is_written](bool success) { is_written = success; });
  this->Run();
  BOOST_TEST(is_written);
  this->running.at("/2")->EndStream();
  this->Send(Get("/3"));
  this->Respond("/3");
  BOOST_TEST(this->Bodies() == "[/1][part][/3]");
}

// Guards against a limit of one that reads ahead.
BOOST_AUTO_TEST_CASE(LimitOfOneReadsAfterTheResponse) {
  Limits limits = this->server->GetLimits();
  limits.pipeline_limit = 1;
  this->server->SetLimits(limits);
  this->Send(Get("/1") + Get("/2"));
  BOOST_TEST(this->started.size() == 1U);
  this->Respond("/1");
  BOOST_TEST(this->started.size() == 2U);
  this->Respond("/2");
  BOOST_TEST(this->Bodies() == "[/1][/2]");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::edge
