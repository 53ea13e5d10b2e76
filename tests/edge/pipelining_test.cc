#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clock/now_func.h"
#include "edge/server.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// A server with pipelining and a caller with one connection. The test responds
// to each request by its target. Targets that start with "/order" may not
// overlap.
struct PipeliningFixture {
  asio::io_context loop;
  std::shared_ptr<Server> server;
  asio::ip::tcp::socket socket{loop};
  // Exchanges in progress by target.
  std::map<std::string, std::shared_ptr<Exchange>> running;
  // Targets in the order in which their requests were started.
  std::vector<std::string> started;
  std::vector<std::string> cancelled;
  std::string received;
  bool is_closed = false;

  PipeliningFixture() {
    Limits limits;
    limits.max_body_bytes = 2000;
    limits.max_buffered_bytes = 3000;
    limits.pipeline_limit = 4;
    limits.max_pipelined_bytes = 1500;
    Handlers handlers;
    handlers.on_request = [this](const std::shared_ptr<Exchange>& exchange,
                                 const HttpRequest& request) {
      const std::string target(request.target());
      this->started.push_back(target);
      this->running[target] = exchange;
    };
    handlers.may_overlap = [](const HttpRequest& request) {
      return !request.target().starts_with("/order");
    };
    handlers.on_caller_disconnected =
        [this](const std::shared_ptr<Exchange>& exchange) {
          for (const auto& [target, started_exchange] : this->running) {
            if (started_exchange == exchange)
              this->cancelled.push_back(target);
          }
          exchange->Abort();
        };
    handlers.on_rejected = [](const std::string&, const Rejection& rejection) {
      HttpResponse response(rejection.status, 11);
      response.body() = "[" + rejection.reason + "]";
      return response;
    };
    this->server =
        std::make_shared<Server>(this->loop, limits, std::move(handlers));
    const std::string address = this->server->Listen("127.0.0.1:0").value();
    const std::size_t colon = address.rfind(':');
    this->socket.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))});
    this->socket.non_blocking(true);
  }

  ~PipeliningFixture() {
    this->running.clear();
    this->server->Stop();
    this->Run();
  }

  void Send(const std::string& bytes) {
    asio::write(this->socket, asio::buffer(bytes));
    this->Run();
  }

  // Runs the loop until no event is ready, and reads what was sent.
  void Run() {
    for (int i = 0; i < 50; ++i) {
      this->loop.restart();
      this->loop.poll();
      char part[4096];
      boost::system::error_code error;
      const std::size_t size =
          this->socket.read_some(asio::buffer(part), error);
      this->received.append(part, size);
      this->is_closed =
          this->is_closed || (error && error != asio::error::would_block);
    }
  }

  // Responds with the target and `size` further bytes as the body.
  void Respond(const std::string& target,
               bool closes = false,
               std::size_t size = 0) {
    HttpResponse response(http::status::ok, 11);
    response.body() = "[" + target + "]" + std::string(size, 'x');
    if (closes)
      response.set(http::field::connection, "close");
    this->running.at(target)->Respond(std::move(response));
    this->Run();
  }

  // Returns the bodies of the responses that were received, without the
  // additional bytes.
  std::string Bodies() const {
    std::string bodies;
    for (std::size_t at = this->received.find('['); at != std::string::npos;
         at = this->received.find('[', at + 1))
      bodies +=
          this->received.substr(at, this->received.find(']', at) + 1 - at);
    return bodies;
  }

  std::size_t CountReceived(const std::string& text) const {
    std::size_t count = 0;
    for (std::size_t at = this->received.find(text); at != std::string::npos;
         at = this->received.find(text, at + 1))
      ++count;
    return count;
  }
};

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

using Targets = std::vector<std::string>;

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
