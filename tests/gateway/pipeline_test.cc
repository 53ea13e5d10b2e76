#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "gateway/peer_driver.h"
#include "gateway/shutdown.h"
#include "standin/http_server_func.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using Ids = std::vector<std::string>;

// Time in which a request that is started wrongly would reach an upstream.
constexpr milliseconds kSettleTime(150);

// One gateway, upstreams whose responses the test sends, and one connection of
// a caller.
struct PipelineFleet : FleetFixture {
  explicit PipelineFleet(std::int64_t limit = 8) : socket(this->loop) {
    this->pipeline_limit = limit;
    this->WriteConfiguration(1);
    for (const char* id : {"u1", "u2", "u3"}) {
      this->AddUpstream(id).on_run =
          [this](const standin::HttpConnectionPtr& connection,
                 const std::string& request_id) {
            this->OnRun(connection, request_id);
            return true;
          };
    }
    this->gateway = &this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return IsAccepting(*this->gateway) &&
             this->gateway->view.upstreams.size() == 3;
    }));
    const std::string& address = this->gateway->settings.front_address;
    const std::size_t colon = address.rfind(':');
    this->socket.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    this->Read();
  }

  ~PipelineFleet() {
    this->socket.close();
    this->RunFor(milliseconds(10));
  }

  void OnRun(const standin::HttpConnectionPtr& connection,
             const std::string& request_id) {
    this->started.push_back(request_id);
    if (this->malformed_id == request_id)
      standin::SendBytes(
          connection, "HTTP/1.1 nonsense\r\n\r\n",
          [connection](bool) { standin::CloseConnection(connection); });
    else
      this->held[request_id] = connection;
  }

  void Read() {
    this->socket.async_read_some(
        boost::asio::buffer(this->part),
        [this](const boost::system::error_code& error, std::size_t size) {
          this->received.append(this->part.data(), size);
          this->is_closed = error.failed();
          if (!error)
            this->Read();
        });
  }

  void Send(const std::string& bytes) {
    boost::asio::write(this->socket, boost::asio::buffer(bytes));
  }

  // Waits until so many requests have reached upstreams.
  void AwaitStarted(std::size_t count) {
    BOOST_REQUIRE(this->RunUntil(
        [this, count] { return this->started.size() >= count; }));
  }

  // Responds to a request with its id and `size` further bytes.
  void Finish(const std::string& id,
              std::size_t size = 0,
              const std::string& fields = "") {
    const auto connection = this->held.at(id);
    this->held.erase(id);
    const std::string body = "[" + id + "]" + std::string(size, 'x');
    standin::SendBytes(
        connection,
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
            "\r\nResponse-Signature: s\r\n" + fields + "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
        [connection](bool) { standin::FinishResponse(connection); });
  }

  // Responds to a request and waits until the gateway has its response.
  void FinishAndWait(const std::string& id, std::size_t size = 0) {
    const std::size_t before = this->gateway->requests.size();
    this->Finish(id, size);
    BOOST_REQUIRE(this->RunUntil(
        [this, before] { return this->gateway->requests.size() < before; }));
  }

  // Waits for a text in what the caller has received.
  void AwaitReceived(const std::string& text) {
    BOOST_REQUIRE(this->RunUntil([this, &text] {
      return this->received.find(text) != std::string::npos;
    }));
  }

  void AwaitClose() {
    BOOST_REQUIRE(this->RunUntil([this] { return this->is_closed; }));
  }

  // Returns the ids in the responses, and "!" for each response with another
  // status than 200.
  std::string Responses() const {
    std::string responses;
    for (std::size_t at = this->received.find("HTTP/1.1 ");
         at != std::string::npos;
         at = this->received.find("HTTP/1.1 ", at + 1)) {
      const std::size_t begin = this->received.find('[', at);
      responses +=
          this->received.substr(at + 9, 3) != "200"
              ? "!"
              : this->received.substr(
                    begin + 1, this->received.find(']', begin) - begin - 1);
    }
    return responses;
  }

  bool HasReceivedClose() const {
    return this->received.find("Connection: close") != std::string::npos;
  }

  int AbandonedRuns() const {
    int runs = 0;
    for (const auto& [id, upstream] : this->upstreams)
      runs += upstream->abandoned_runs;
    return runs;
  }

  Gateway* gateway = nullptr;
  tcp::socket socket;
  std::array<char, 65536> part{};
  std::string received;
  bool is_closed = false;
  // Ids of the requests in the order in which they reached upstreams.
  Ids started;
  // Requests that have no response yet.
  std::map<std::string, standin::HttpConnectionPtr> held;
  // Upstreams respond to the request with this id with an invalid response.
  std::string malformed_id;
};

struct UnpipelinedFleet : PipelineFleet {
  UnpipelinedFleet() : PipelineFleet(1) {}
};

std::string LookUp(const std::string& id) {
  return "GET /look/" + id +
         " HTTP/1.1\r\nHost: f.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: 4000\r\n\r\n";
}

std::string Order(const std::string& id) {
  return "POST /order/" + id +
         " HTTP/1.1\r\nHost: f.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: 4000\r\nContent-Length: 1\r\n\r\nx";
}

}  // namespace

// Guards against fast look-ups that wait for a slow one before them, and
// against responses that are sent out of order or to the wrong request.
BOOST_FIXTURE_TEST_CASE(FastLookUpsRunBehindSlowOne, PipelineFleet) {
  this->Send(LookUp("a") + LookUp("b") + LookUp("c") + LookUp("d") +
             LookUp("e") + LookUp("f"));
  this->AwaitStarted(6);
  for (const char* id : {"f", "b", "d", "c", "e"})
    this->FinishAndWait(id);
  BOOST_TEST(this->received.empty());
  this->Finish("a");
  this->AwaitReceived("[f]");
  BOOST_TEST(this->Responses() == "abcdef");
  BOOST_TEST(!this->HasReceivedClose());
}

// Guards against an order that reaches an upstream behind a request without a
// response, or that runs twice.
BOOST_FIXTURE_TEST_CASE(OrderWaitsForResponsesBeforeIt, PipelineFleet) {
  this->Send(LookUp("a") + LookUp("b") + Order("c") + LookUp("d"));
  this->AwaitStarted(2);
  this->FinishAndWait("b");
  this->RunFor(kSettleTime);
  BOOST_TEST(this->started.size() == 2U);
  this->Finish("a");
  this->AwaitStarted(4);
  this->FinishAndWait("d");
  this->Finish("c");
  this->AwaitReceived("[d]");
  BOOST_TEST(this->Responses() == "abcd");
  BOOST_TEST(std::count(this->started.begin(), this->started.end(), "c") == 1);
}

// Guards against a rejection that is sent before its turn, and against requests
// behind it that reach an upstream.
BOOST_FIXTURE_TEST_CASE(RejectionInTheMiddleClosesInItsTurn, PipelineFleet) {
  this->Send(LookUp("a") + LookUp("b") + "GET /look/x HTTP/1.1\r\n\r\n" +
             LookUp("d") + Order("e"));
  this->AwaitStarted(2);
  this->FinishAndWait("b");
  BOOST_TEST(this->received.empty());
  this->Finish("a");
  this->AwaitClose();
  BOOST_TEST(this->Responses() == "ab!");
  BOOST_TEST(this->received.find("host_missing") != std::string::npos);
  BOOST_TEST(this->started.size() == 2U);
}

// Guards against a connection to an upstream whose close ends the caller's
// connection and the requests behind it.
BOOST_FIXTURE_TEST_CASE(CloseByUpstreamConcernsOneRequest, PipelineFleet) {
  this->Send(LookUp("a") + LookUp("b") + LookUp("c") + Order("d"));
  this->AwaitStarted(3);
  this->Finish("b", 0, "Connection: close\r\n");
  this->Finish("a");
  this->Finish("c");
  this->AwaitStarted(4);
  this->Finish("d");
  this->AwaitReceived("[d]");
  BOOST_TEST(this->Responses() == "abcd");
  BOOST_TEST(!this->HasReceivedClose());
}

// Guards against work for a caller that has closed its connection, and against
// an order that runs after that.
BOOST_FIXTURE_TEST_CASE(AbandonedConnectionEndsAllRequests, PipelineFleet) {
  this->Send(LookUp("a") + LookUp("b") + LookUp("c") + Order("d"));
  this->AwaitStarted(3);
  BOOST_TEST(this->gateway->requests.size() == 3U);
  this->FinishAndWait("b");
  this->socket.close();
  BOOST_REQUIRE(this->RunUntil([this] { return this->AbandonedRuns() == 2; }));
  this->RunFor(kSettleTime);
  BOOST_TEST(this->gateway->requests.empty());
  BOOST_TEST(this->started.size() == 3U);
}

// Guards against a caller that closes its connection unnoticed, because it has
// sent more requests than are read.
BOOST_FIXTURE_TEST_CASE(AbandonedConnectionWithUnreadRequestsEnds,
                        PipelineFleet) {
  std::string bytes;
  for (int i = 0; i < 8; ++i)
    bytes += LookUp(std::to_string(i));
  this->Send(bytes);
  this->AwaitStarted(8);
  this->Send(LookUp("unread"));
  this->socket.close();
  BOOST_REQUIRE(this->RunUntil([this] { return this->AbandonedRuns() == 8; }));
  BOOST_TEST(this->gateway->requests.empty());
  BOOST_TEST(this->started.size() == 8U);
}

// Guards against a draining gateway that closes the connection before the
// responses to requests that it has forwarded, or that forwards more.
BOOST_FIXTURE_TEST_CASE(DrainingClosesAfterForwardedRequests, PipelineFleet) {
  this->Send(LookUp("a") + LookUp("b") + Order("c"));
  this->AwaitStarted(2);
  StartDrain(*this->gateway);
  this->Send(LookUp("d"));
  this->Finish("a");
  this->AwaitReceived("[a]");
  BOOST_TEST(!this->HasReceivedClose());
  this->Finish("b");
  this->AwaitClose();
  BOOST_TEST(this->Responses() == "ab");
  BOOST_TEST(this->HasReceivedClose());
  BOOST_TEST(this->started.size() == 2U);
}

// Guards against a draining gateway that keeps a connection open for requests
// which it has not forwarded.
BOOST_FIXTURE_TEST_CASE(DrainingClosesBeforeHeldRequests, PipelineFleet) {
  this->Send(LookUp("a") + Order("b") + LookUp("c"));
  this->AwaitStarted(1);
  StartDrain(*this->gateway);
  this->Finish("a");
  this->AwaitClose();
  BOOST_TEST(this->Responses() == "a");
  BOOST_TEST(this->HasReceivedClose());
  BOOST_TEST(this->started.size() == 1U);
}

// Guards against a malformed response in the middle that ends the connection or
// takes the place of another response.
BOOST_FIXTURE_TEST_CASE(MalformedResponseConcernsOneRequest, PipelineFleet) {
  this->malformed_id = "b";
  this->Send(LookUp("a") + LookUp("b") + LookUp("c"));
  BOOST_REQUIRE(this->RunUntil([this] {
    return this->held.size() == 2 && this->gateway->requests.size() == 2;
  }));
  this->FinishAndWait("c");
  this->Finish("a");
  this->AwaitReceived("[c]");
  BOOST_TEST(this->Responses() == "a!c");
  BOOST_TEST(!this->HasReceivedClose());
}

// Guards against unlimited buffers for a caller whose first response is slow
// and whose others are large.
BOOST_FIXTURE_TEST_CASE(LargeWaitingResponsesStopReading, PipelineFleet) {
  this->Send(LookUp("a") + LookUp("b"));
  this->AwaitStarted(2);
  this->FinishAndWait("b", 1'100'000);
  this->Send(LookUp("c"));
  this->RunFor(kSettleTime);
  BOOST_TEST(this->started.size() == 2U);
  this->Finish("a");
  this->AwaitStarted(3);
  this->Finish("c");
  this->AwaitReceived("[c]");
  BOOST_TEST(this->Responses() == "abc");
}

// Guards against a limit of one that processes requests concurrently.
BOOST_FIXTURE_TEST_CASE(LimitOfOneProcessesOneRequestAtATime,
                        UnpipelinedFleet) {
  this->Send(LookUp("a") + LookUp("b"));
  this->AwaitStarted(1);
  this->RunFor(kSettleTime);
  BOOST_TEST(this->started.size() == 1U);
  this->Finish("a");
  this->AwaitStarted(2);
  this->Finish("b");
  this->AwaitReceived("[b]");
  BOOST_TEST(this->Responses() == "ab");
}

}  // namespace poplarfork::gateway
