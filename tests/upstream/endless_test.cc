#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/byte_counter_type.h"
#include "clock/now_func.h"
#include "tests/support/endless_upstream.h"
#include "tests/support/scripted_upstream.h"
#include "upstream/whole_call.h"

namespace poplarfork::upstream {

namespace {

using support::EndlessUpstream;
using support::ScriptedConnection;
using support::ScriptedUpstream;

constexpr std::size_t kMaxBodyBytes = 256 * 1024;

// Bytes that an endless response may bring before its connection is closed: the
// limits of the header, the body and the read buffer, and what the kernel
// buffers of a connection over the loopback interface take.
constexpr std::size_t kMaxReceivedBytes = 8 * 1024 * 1024;

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct EndlessCase {
  std::string name;
  std::string prefix;
  std::string piece;
};

const std::vector<EndlessCase> kEndlessCases = {
    {"status line", "HTTP/1.1 200 ", "OK"},
    {"bytes without a line end", "", "x"},
    {"header line", "HTTP/1.1 200 OK\r\nX-Field: ", "y"},
    {"header fields", "HTTP/1.1 200 OK\r\n", "X-Field: y\r\n"},
    {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"chunk size", kChunkedHead, "0"},
    {"chunk extension", kChunkedHead + "5;", "extension"},
    {"trailers", kChunkedHead + "5\r\nhello\r\n0\r\n", "X-Field: y\r\n"},
    {"trailer line", kChunkedHead + "5\r\nhello\r\n0\r\nX-Field: ", "y"},
    {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "body"},
    {"chunks", kChunkedHead, "4\r\nbody\r\n"},
};

// Bytes of the incomplete bodies in the tests of the limits that all responses
// share, and number of these bodies, which reach the limit together.
constexpr std::size_t kIncompleteBodyBytes = 250'000;
constexpr std::size_t kIncompleteBodies = 4;

// A call whose end is awaited.
struct PendingCall {
  bool is_done = false;
  BufferedResponse response;
};

// Writes bytes that belong to no response to a connection, after a pause and
// then without end.
class UnrequestedWriter {
 public:
  explicit UnrequestedWriter(boost::asio::io_context& loop) : timer(loop) {}

  void Start(ScriptedConnection& connection) {
    this->timer.expires_after(std::chrono::milliseconds(20));
    this->timer.async_wait(
        [this, &connection](const auto&) { this->Write(connection); });
  }

  bool is_closed = false;

 private:
  void Write(ScriptedConnection& connection) {
    boost::asio::async_write(
        connection.socket, boost::asio::buffer(this->bytes),
        [this, &connection](const auto& error, std::size_t) {
          if (error)
            this->is_closed = true;
          else
            this->Write(connection);
        });
  }

  boost::asio::steady_timer timer;
  const std::string bytes = std::string(4096, 'x');
};

struct CallFixture {
  std::shared_ptr<PendingCall> Start(const std::string& address,
                                     base::Duration timeout,
                                     std::size_t max_body_bytes) {
    CallOptions options;
    options.address = address;
    options.timeout = timeout;
    options.max_body_bytes = max_body_bytes;
    auto request =
        std::make_shared<HttpRequest>(boost::beast::http::verb::get, "/", 11);
    request->set(boost::beast::http::field::host, "endless.example");
    auto call = std::make_shared<PendingCall>();
    StartCall(this->loop, this->pool, options, request,
              [call](BufferedResponse ended) {
                call->response = std::move(ended);
                call->is_done = true;
              });
    return call;
  }

  BufferedResponse Call(const std::string& address, base::Duration timeout) {
    const auto call = this->Start(address, timeout, kMaxBodyBytes);
    while (!call->is_done)
      this->loop.run_one();
    return std::move(call->response);
  }

  // Starts calls whose bodies stay incomplete, and runs the loop until
  // `buffered_bytes` are buffered.
  std::vector<std::shared_ptr<PendingCall>> StartIncompleteCalls(
      const std::string& address,
      std::size_t buffered_bytes) {
    std::vector<std::shared_ptr<PendingCall>> calls;
    for (std::size_t i = 0; i < kIncompleteBodies; ++i)
      calls.push_back(this->Start(address, std::chrono::seconds(60),
                                  2 * kIncompleteBodyBytes));
    while (this->pool.buffered_bytes < buffered_bytes)
      this->loop.run_one();
    return calls;
  }

  boost::asio::io_context loop;
  Pool pool;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EndlessSuite, CallFixture)

// Guards against a response without end that fills the memory of a small VM, or
// that looks complete. The deadline is far away, so each call must end by the
// limits on sizes.
BOOST_AUTO_TEST_CASE(EndlessResponsesEndByTheirSize) {
  for (const EndlessCase& endless : kEndlessCases) {
    EndlessUpstream upstream(this->loop, endless.prefix, endless.piece);
    const BufferedResponse response =
        this->Call(upstream.GetAddress(), std::chrono::seconds(60));
    while (upstream.closed_connections == 0)
      this->loop.run_one();
    BOOST_TEST_CONTEXT(endless.name) {
      BOOST_TEST(!response.IsComplete());
      BOOST_TEST(upstream.sent_bytes <= kMaxReceivedBytes);
      BOOST_TEST((response.end.error != boost::asio::error::timed_out));
      BOOST_TEST(response.body.size() <= kMaxBodyBytes);
      BOOST_TEST(this->pool.address_pools[upstream.GetAddress()].in_use == 0U);
      BOOST_TEST(this->pool.address_pools[upstream.GetAddress()].idle.empty());
    }
  }
}

// Guards against bytes after a complete response that are taken for a part of
// it or for the next response.
BOOST_AUTO_TEST_CASE(BytesAfterTheResponseAreDropped) {
  EndlessUpstream upstream(
      this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "more");
  for (int i = 0; i < 3; ++i) {
    const BufferedResponse response =
        this->Call(upstream.GetAddress(), std::chrono::seconds(60));
    BOOST_TEST(response.IsComplete());
    BOOST_TEST(response.body == "hello");
    BOOST_TEST(!response.end.is_connection_reused);
  }
}

// Guards against many endless bodies that fill the memory together although
// each of them stays within its own limit.
BOOST_AUTO_TEST_CASE(BodiesOfAllResponsesAreLimited) {
  constexpr int kCalls = 8;
  this->pool.limits.max_buffered_bytes = 3 * kMaxBodyBytes;
  EndlessUpstream upstream(this->loop, "HTTP/1.1 200 OK\r\n\r\n", "body");
  int ended = 0;
  std::size_t most_buffered = 0;
  for (int i = 0; i < kCalls; ++i) {
    CallOptions options;
    options.address = upstream.GetAddress();
    options.timeout = std::chrono::seconds(60);
    options.max_body_bytes = kMaxBodyBytes;
    auto request =
        std::make_shared<HttpRequest>(boost::beast::http::verb::get, "/", 11);
    StartCall(this->loop, this->pool, options, request,
              [&](const BufferedResponse& response) {
                BOOST_TEST(!response.IsComplete());
                BOOST_TEST(response.is_too_large);
                ++ended;
              });
  }
  while (ended < kCalls) {
    this->loop.run_one();
    most_buffered = std::max(most_buffered, this->pool.buffered_bytes);
  }
  BOOST_TEST(most_buffered <= this->pool.limits.max_buffered_bytes);
  BOOST_TEST(this->pool.buffered_bytes == 0U);
}

// Guards against bytes without end on an idle connection, which the kernel
// buffers until the connection is used again or expires.
BOOST_AUTO_TEST_CASE(BytesOnIdleConnectionsCloseThem) {
  UnrequestedWriter writer(this->loop);
  ScriptedUpstream upstream(this->loop, [&](ScriptedConnection& connection) {
    writer.Start(connection);
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  });
  const BufferedResponse response =
      this->Call(upstream.GetAddress(), std::chrono::seconds(60));
  BOOST_TEST(response.IsComplete());
  BOOST_TEST(this->pool.address_pools[upstream.GetAddress()].idle.size() == 1U);
  while (!writer.is_closed)
    BOOST_REQUIRE(this->loop.run_one_for(std::chrono::seconds(5)) == 1U);
  BOOST_TEST(this->pool.address_pools[upstream.GetAddress()].idle.empty());
}

// Guards against endless bodies that use up the limit of all responses, so that
// the responses to other requests are given up.
BOOST_AUTO_TEST_CASE(SmallResponsesFitBesideEndlessBodies) {
  for (const bool has_memory_budget : {false, true}) {
    CallFixture fixture;
    ScriptedUpstream endless(fixture.loop, [](ScriptedConnection&) {
      return "HTTP/1.1 200 OK\r\n\r\n" + std::string(kIncompleteBodyBytes, 'x');
    });
    ScriptedUpstream healthy(fixture.loop, [](ScriptedConnection&) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" +
             std::string(5000, 'y');
    });
    constexpr std::size_t kAllBytes = kIncompleteBodies * kIncompleteBodyBytes;
    if (has_memory_budget) {
      fixture.pool.memory = std::make_shared<base::ByteCounter>();
      fixture.pool.limits.memory_budget.total_bytes =
          kAllBytes + kIncompleteBodies * 64 * 1024 + 1000;
    } else {
      fixture.pool.limits.max_buffered_bytes = kAllBytes + 1000;
    }
    const auto endless_calls =
        fixture.StartIncompleteCalls(endless.GetAddress(), kAllBytes);
    const BufferedResponse response =
        fixture.Call(healthy.GetAddress(), std::chrono::seconds(60));
    BOOST_TEST(response.IsComplete());
    BOOST_TEST(response.body.size() == 5000U);
    std::size_t ended = 0;
    for (const auto& call : endless_calls) {
      ended += call->is_done ? 1 : 0;
      BOOST_TEST(call->response.is_too_large == call->is_done);
    }
    BOOST_TEST(ended == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::upstream
