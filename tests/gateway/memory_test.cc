#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>
#include <string>

#include "clock/now_func.h"
#include "gateway/memory_driver.h"
#include "gateway/peer_driver.h"
#include "standin/http_server_func.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

namespace {

using boost::asio::ip::tcp;

constexpr double kMemoryMb = 50;
constexpr std::uint64_t kBudgetBytes = 25'000'000;
constexpr std::uint64_t kRefusalBytes = 18'750'000;
// More than the kernel buffers for a connection.
constexpr std::size_t kLargeBodyBytes = 5'000'000;

// One gateway with a memory limit, and upstreams that send large responses to
// requests whose ids begin with "large".
struct MemoryFleet : FleetFixture {
  MemoryFleet() {
    this->WriteConfiguration(1);
    for (const char* id : {"u1", "u2", "u3"}) {
      this->AddUpstream(id).on_run =
          [](const standin::HttpConnectionPtr& connection,
             const std::string& request_id) {
            if (!request_id.starts_with("large"))
              return false;
            standin::SendBytes(
                connection,
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id +
                    "\r\nResponse-Signature: s\r\nContent-Length: " +
                    std::to_string(kLargeBodyBytes) + "\r\n\r\n" +
                    std::string(kLargeBodyBytes, 'x'),
                [connection](bool) { standin::FinishResponse(connection); });
            return true;
          };
    }
    this->gateway = &this->AddGateway();
    this->gateway->settings.memory_limit_mb = kMemoryMb;
    ApplyMemoryLimit(*this->gateway);
    BOOST_REQUIRE(this->RunUntil([this] {
      return IsAccepting(*this->gateway) &&
             this->gateway->view.upstreams.size() == 3;
    }));
  }

  ~MemoryFleet() { this->callers.clear(); }

  // Opens a connection of a caller that reads nothing by itself, with a small
  // buffer in the kernel, and sends `bytes`.
  tcp::socket& Connect(const std::string& bytes) {
    tcp::socket& socket = this->callers.emplace_back(this->loop);
    const std::string& address = this->gateway->settings.front_address;
    const std::size_t colon = address.rfind(':');
    socket.open(tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    return socket;
  }

  // Starts an upload that stays incomplete.
  void StartUpload() {
    this->Connect(
        "POST /order/1 HTTP/1.1\r\nHost: f.example\r\nContent-Length: "
        "100000\r\n\r\n" +
        std::string(50000, 'x'));
  }

  tcp::socket& RequestLargeResponse() {
    return this->Connect(
        "GET /look/1 HTTP/1.1\r\nHost: f.example\r\nAttempt-Id: large-" +
        std::to_string(this->callers.size()) + "\r\nDeadline-Ms: 3000\r\n\r\n");
  }

  // Runs the loop until `done` returns true, and notes how many bytes were
  // buffered.
  void Await(const std::function<bool()>& done) {
    BOOST_REQUIRE(this->RunUntil([&] {
      this->most_bytes =
          std::max(this->most_bytes, this->gateway->memory->bytes);
      return done();
    }));
  }

  // Adds slow callers until requests are refused.
  void FillMemory() {
    while (this->gateway->memory->bytes <= kRefusalBytes) {
      BOOST_REQUIRE(this->callers.size() < 100);
      this->RequestLargeResponse();
      const std::size_t count = ++this->large_requests;
      this->Await([this, count] {
        return this->gateway->requests.empty() &&
               this->CountDelivered() == count;
      });
    }
  }

  // Returns how many of the requests for large responses have reached an
  // upstream. One that is sent again to another upstream counts once.
  std::size_t CountDelivered() const {
    std::set<std::string> ids;
    for (const auto& [id, upstream] : this->upstreams) {
      for (const auto& [request_id, count] : upstream->run_counts) {
        if (request_id.starts_with("large"))
          ids.insert(request_id);
      }
    }
    return ids.size();
  }

  Gateway* gateway = nullptr;
  std::deque<tcp::socket> callers;
  std::uint64_t most_bytes = 0;
  std::size_t large_requests = 0;
};

}  // namespace

// Guards against a gateway that exceeds its memory because callers read large
// responses slowly and send large requests slowly, and against refusals that
// are not told as such.
BOOST_FIXTURE_TEST_CASE(RequestsAreRefusedWhileCallersAreSlow, MemoryFleet) {
  for (int i = 0; i < 6; ++i)
    this->StartUpload();
  this->Await([this] { return this->gateway->memory->bytes >= 1'200'000; });
  this->FillMemory();
  const CallerResponse refused =
      this->SendAndWait(*this->gateway, {.request_id = "normal"});
  BOOST_TEST(refused.status == 503U);
  BOOST_TEST(refused.body.find("memory_pressure") != std::string::npos);
  BOOST_TEST(!refused.retry_after.empty());
  // A further upload is refused before its body is read.
  const std::uint64_t bytes_before = this->gateway->memory->bytes;
  this->StartUpload();
  std::string response;
  bool has_ended = false;
  boost::asio::async_read(this->callers.back(),
                          boost::asio::dynamic_buffer(response),
                          [&](const auto&, std::size_t) { has_ended = true; });
  this->Await([&] { return has_ended; });
  BOOST_TEST(response.find(" 503 ") != std::string::npos);
  BOOST_TEST(response.find("Retry-After: 1") != std::string::npos);
  BOOST_TEST(this->gateway->memory->bytes <= bytes_before);
  BOOST_TEST(this->most_bytes <= kBudgetBytes);
  this->callers.clear();
  this->Await([this] { return this->gateway->memory->bytes == 0; });
  BOOST_TEST(
      this->SendAndWait(*this->gateway, {.request_id = "again"}).status ==
      200U);
}

// Guards against responses of upstreams that arrive at the same time and exceed
// the memory together.
BOOST_FIXTURE_TEST_CASE(ConcurrentLargeResponsesStayWithinBudget, MemoryFleet) {
  for (int i = 0; i < 12; ++i)
    this->RequestLargeResponse();
  this->Await([this] { return this->gateway->memory->bytes > kRefusalBytes; });
  this->Await([this] { return this->gateway->requests.empty(); });
  BOOST_TEST(this->most_bytes <= kBudgetBytes);
}

// Guards against requests that are refused for lack of memory because upstreams
// send bodies without end.
BOOST_FIXTURE_TEST_CASE(EndlessBodiesLeaveRoomForRequests, MemoryFleet) {
  constexpr std::size_t kEndlessBodies = 4;
  std::size_t ended_writes = 0;
  for (const auto& [id, upstream] : this->upstreams) {
    upstream->on_run = [&](const standin::HttpConnectionPtr& connection,
                           const std::string& request_id) {
      standin::SendBytes(connection,
                         "HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id +
                             "\r\nResponse-Signature: s\r\n\r\n" +
                             std::string(kLargeBodyBytes, 'x'),
                         [&ended_writes](bool) { ++ended_writes; });
      return true;
    };
  }
  for (std::size_t i = 0; i < kEndlessBodies; ++i)
    this->RequestLargeResponse();
  this->Await([&] {
    return ended_writes >= kEndlessBodies && this->most_bytes > kLargeBodyBytes;
  });
  // What the kernel still buffers is read.
  this->RunFor(std::chrono::milliseconds(300));
  BOOST_TEST(HasMemoryForRequest(*this->gateway));
  BOOST_TEST(this->most_bytes <= kRefusalBytes);
}

// Guards against completed responses that are not delivered while new requests
// are refused.
BOOST_FIXTURE_TEST_CASE(CompletedResponsesAreDeliveredUnderPressure,
                        MemoryFleet) {
  this->FillMemory();
  std::string response;
  bool has_ended = false;
  boost::asio::async_read(this->callers.front(),
                          boost::asio::dynamic_buffer(response),
                          boost::asio::transfer_at_least(kLargeBodyBytes),
                          [&](const auto&, std::size_t) { has_ended = true; });
  this->Await([&] { return has_ended; });
  BOOST_TEST(response.find(" 200 ") != std::string::npos);
}

// Guards against the response to a caller that never reads, which is kept
// forever.
BOOST_FIXTURE_TEST_CASE(CallersThatDoNotReadAreClosed, MemoryFleet) {
  this->FillMemory();
  this->gateway->front_server->CloseExpiredSessions(
      clock::Now() + this->gateway->front_server->GetLimits().write_timeout +
      std::chrono::seconds(1));
  this->Await([this] { return this->gateway->memory->bytes == 0; });
  BOOST_TEST(
      this->SendAndWait(*this->gateway, {.request_id = "again"}).status ==
      200U);
}

}  // namespace poplarfork::gateway
