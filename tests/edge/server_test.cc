#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "clock/now_func.h"
#include "edge/server.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// A server whose handlers count events and respond to each request, unless
// `sends_response` is false.
struct ServerFixture {
  asio::io_context loop;
  std::shared_ptr<Server> server;
  std::string address;
  unsigned request_count = 0;
  unsigned disconnect_count = 0;
  std::string last_body;
  std::string last_reason;
  bool sends_response = true;

  ServerFixture() {
    Limits limits;
    limits.max_body_bytes = 1000;
    limits.max_buffered_bytes = 1500;
    limits.max_header_bytes = 1024;
    Handlers handlers;
    handlers.on_request = [this](const std::shared_ptr<Exchange>& session,
                                 HttpRequest request) {
      ++this->request_count;
      this->last_body = request.body();
      if (!this->sends_response)
        return;
      HttpResponse response(http::status::ok, 11);
      response.body() = "done";
      session->Respond(std::move(response));
    };
    handlers.on_caller_disconnected = [this](const auto&) {
      ++this->disconnect_count;
    };
    handlers.on_rejected = [this](const std::string&,
                                  const Rejection& rejection) {
      this->last_reason = rejection.reason;
      HttpResponse response(rejection.status, 11);
      response.body() = rejection.reason;
      return response;
    };
    this->server =
        std::make_shared<Server>(this->loop, limits, std::move(handlers));
    this->address = this->server->Listen("127.0.0.1:0").value();
  }

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket socket(this->loop);
    const std::size_t colon = this->address.rfind(':');
    socket.connect({asio::ip::make_address(this->address.substr(0, colon)),
                    static_cast<unsigned short>(
                        std::stoi(this->address.substr(colon + 1)))});
    return socket;
  }

  // Sends bytes and runs the event loop until the text `until` has been
  // received. Returns the received text.
  std::string SendAndReadUntil(asio::ip::tcp::socket& socket,
                               const std::string& bytes,
                               const std::string& until) {
    asio::write(socket, asio::buffer(bytes));
    std::string text;
    bool done = false;
    asio::async_read_until(socket, asio::dynamic_buffer(text), until,
                           [&done](const auto&, std::size_t) { done = true; });
    while (!done)
      this->loop.run_one();
    return text;
  }
};

// Invalid input with the status and the reason of the expected response.
struct InvalidInputCase {
  std::string bytes;
  std::string status;
  std::string reason;
};

std::ostream& operator<<(std::ostream& out, const InvalidInputCase& input) {
  return out << input.reason;
}

const InvalidInputCase kInvalidInputCases[] = {
    {"GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
     "431", "header_too_large"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000000\r\n\r\n", "413",
     "body_too_large"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400", "bad_transfer_encoding"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
     "Content-Length: 5\r\n\r\n0\r\n\r\n",
     "400", "bad_content_length"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     "400", "bad_chunk"},
    {"GET / HTTP/1.1\r\n\r\n", "400", "host_missing_or_repeated"},
    {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400",
     "host_missing_or_repeated"},
    {"GET / HTTP/7.3\r\nHost: a\r\n\r\n", "505", "bad_version"},
    {"\x16\x03\x01 nonsense\r\n\r\n", "400", "bad_method"},
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ServerSuite, ServerFixture)

// Guards against malformed, oversized or ambiguous input that is passed on as a
// request, that closes the connection without a response, or that affects the
// next caller.
BOOST_DATA_TEST_CASE(InvalidInputIsRejectedWithReason,
                     boost::unit_test::data::make(kInvalidInputCases),
                     input) {
  auto socket = this->Connect();
  const std::string text =
      this->SendAndReadUntil(socket, input.bytes, input.reason);
  BOOST_TEST(text.substr(9, 3) == input.status, text);
  BOOST_TEST(this->last_reason == input.reason);
  BOOST_TEST(this->request_count == 0);
  auto next = this->Connect();
  this->SendAndReadUntil(next, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "done");
  BOOST_TEST(this->request_count == 1);
}

// Guards against request bodies of several callers that together exceed the
// memory limit of the daemon.
BOOST_AUTO_TEST_CASE(RequestBodiesOfAllCallersAreLimited) {
  auto first = this->Connect();
  asio::write(first,
              asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                                       "Content-Length: 1000\r\n\r\nhalf")));
  for (int i = 0; i < 20; ++i)
    this->loop.poll();
  auto second = this->Connect();
  const std::string text = this->SendAndReadUntil(
      second, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n",
      "buffers_full");
  BOOST_TEST(text.substr(9, 3) == "503");
}

// Guards against a caller that sends part of a request and then keeps the
// connection open without sending the rest.
BOOST_AUTO_TEST_CASE(IncompleteRequestTimesOut) {
  auto socket = this->Connect();
  asio::write(socket, asio::buffer(std::string("GET / HTT")));
  for (int i = 0; i < 20; ++i)
    this->loop.poll();
  this->server->CloseExpiredSessions(clock::Now() + std::chrono::seconds(30));
  BOOST_TEST(this->last_reason == "request_timeout");
  for (int i = 0; i < 20; ++i)
    this->loop.poll();
  this->server->CloseExpiredSessions(clock::Now());
  BOOST_TEST(this->server->ConnectionCount() == 0);
}

// Guards against work that continues for a caller that has closed its
// connection.
BOOST_AUTO_TEST_CASE(DisconnectOfCallerIsDetected) {
  this->sends_response = false;
  auto socket = this->Connect();
  asio::write(socket,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  while (this->request_count == 0)
    this->loop.run_one();
  socket.close();
  while (this->disconnect_count == 0)
    this->loop.run_one();
  BOOST_TEST(this->disconnect_count == 1);
}

// Guards against pipelined requests that are lost or answered in the wrong
// order.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  auto socket = this->Connect();
  const std::string pipelined_requests =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo";
  this->SendAndReadUntil(socket, pipelined_requests, "done");
  while (this->request_count < 2)
    this->loop.run_one();
  BOOST_TEST(this->last_body == "two");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::edge
