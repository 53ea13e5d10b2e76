#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "clock/now_func.h"
#include "tests/support/scripted_upstream.h"
#include "tests/support/silent_connection.h"
#include "upstream/exchange.h"
#include "upstream/pool_func.h"

namespace poplarfork::upstream {

namespace {

using support::ScriptedConnection;
using support::ScriptedUpstream;

const std::string kCompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

// The response and the end of one exchange.
struct ExchangeOutcome {
  bool is_done = false;
  unsigned status = 0;
  std::string body;
  ExchangeEnd end;
};

std::shared_ptr<const HttpRequest> MakeRequest(
    boost::beast::http::verb method) {
  HttpRequest request(method, "/order", 11);
  request.set(boost::beast::http::field::host, "orders.example");
  return std::make_shared<const HttpRequest>(std::move(request));
}

// A pool with a short silence timeout, so that tests of silent connections are
// fast.
struct ExchangeFixture {
  boost::asio::io_context loop;
  Pool pool;

  ExchangeFixture() {
    this->pool.limits.silence_timeout = std::chrono::milliseconds(50);
  }

  // Runs one exchange to its end.
  ExchangeOutcome RunExchange(
      const std::string& address,
      ConnectionReuse reuse,
      boost::beast::http::verb method = boost::beast::http::verb::post,
      base::Duration timeout = std::chrono::seconds(20)) {
    ExchangeOutcome outcome;
    std::shared_ptr<Exchange> exchange;
    ExchangeHandlers handlers;
    handlers.on_header = [&](const HttpHeader& header) {
      outcome.status = header.result_int();
      exchange->Resume();
    };
    handlers.on_body = [&](std::string_view part) {
      outcome.body += part;
      exchange->Resume();
    };
    handlers.on_end = [&](const ExchangeEnd& end) {
      outcome.end = end;
      outcome.is_done = true;
    };
    exchange = std::make_shared<Exchange>(this->loop, this->pool, handlers);
    exchange->Start(address, MakeRequest(method), reuse, timeout);
    while (!outcome.is_done)
      this->loop.run_one();
    return outcome;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ExchangeSuite, ExchangeFixture)

// Guards against sending a POST again if the upstream closes a pooled
// connection before it sends the status line. The HTTP client of cpprestsdk
// does so silently.
BOOST_AUTO_TEST_CASE(PostIsSentOnceWhenReusedConnectionCloses) {
  ScriptedUpstream upstream(this->loop, [](ScriptedConnection& connection) {
    if (connection.request_count == 1)
      return kCompleteResponse;
    connection.socket.close();
    return std::string();
  });
  const ExchangeOutcome first =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(first.body == "hello", first.end.error.message());
  const ExchangeOutcome second =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(upstream.request_count == 2);
  BOOST_TEST(second.end.is_connection_reused);
  BOOST_TEST((second.end.progress == Progress::kMaybeSent));
}

// Guards against a request that is not repeatable on a connection that has
// served another request.
BOOST_AUTO_TEST_CASE(NewConnectionIsUsedWhenReuseIsForbidden) {
  ScriptedUpstream upstream(
      this->loop, [](ScriptedConnection&) { return kCompleteResponse; });
  this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  const ExchangeOutcome second =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kForbidden);
  BOOST_TEST(!second.end.is_connection_reused);
  BOOST_TEST(upstream.connection_count == 2);
}

// Guards against taking a truncated body for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedBodyIsNotComplete) {
  ScriptedUpstream upstream(this->loop, [](ScriptedConnection& connection) {
    boost::asio::write(
        connection.socket,
        boost::asio::buffer(
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")));
    connection.socket.close();
    return std::string();
  });
  const ExchangeOutcome outcome =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(outcome.status == 200);
  BOOST_TEST((outcome.end.progress == Progress::kHeaderReceived));
  BOOST_TEST(!!outcome.end.error);
}

// Guards against a header that the upstream has broken off and that is taken
// for a complete response, wherever it ends.
BOOST_AUTO_TEST_CASE(TruncatedHeaderIsNotComplete) {
  // Bodies with a length, in chunks, of no length and empty.
  const std::string headers[] = {
      "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 5\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n",
      "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nConnection: close\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt-Id: a\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
  };
  for (const std::string& header : headers) {
    for (std::size_t size = 1; size < header.size(); ++size) {
      ExchangeFixture fixture;
      ScriptedUpstream upstream(
          fixture.loop, [&](ScriptedConnection& connection) {
            boost::asio::write(connection.socket,
                               boost::asio::buffer(header.data(), size));
            connection.socket.close();
            return std::string();
          });
      const ExchangeOutcome outcome = fixture.RunExchange(
          upstream.GetAddress(), ConnectionReuse::kForbidden);
      BOOST_TEST((outcome.end.progress != Progress::kComplete),
                 header.substr(0, size));
      BOOST_TEST(outcome.status == 0U);
    }
  }
}

// Guards against a failed connect that is reported as a request that may have
// been sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionSendsNothing) {
  std::string address;
  {
    ScriptedUpstream upstream(
        this->loop, [](ScriptedConnection&) { return kCompleteResponse; });
    address = upstream.GetAddress();
  }
  const ExchangeOutcome outcome =
      this->RunExchange(address, ConnectionReuse::kAllowed);
  BOOST_TEST((outcome.end.progress == Progress::kNotConnected));
}

// Guards against blaming an upstream for a connection that went silent. The
// reused connection must be reported as silent, and the other pooled
// connections must not be used again.
BOOST_AUTO_TEST_CASE(SilentReusedConnectionIsReplaced) {
  ScriptedUpstream upstream(this->loop, [](ScriptedConnection& connection) {
    if (connection.request_count == 1)
      support::DropReceivedSegments(connection.socket);
    return kCompleteResponse;
  });
  this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  const ExchangeOutcome second =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(second.end.is_silent);
  BOOST_TEST((second.end.progress == Progress::kMaybeSent));
  BOOST_TEST(upstream.request_count == 1U);
  const ExchangeOutcome third =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(!third.end.is_connection_reused);
  BOOST_TEST(third.body == "hello");
}

// Guards against taking an upstream that works for longer than the silence
// timeout for a silent connection: requests on reused connections were broken
// off, also while draining, and their callers got 502.
BOOST_AUTO_TEST_CASE(LongWorkOnReusedConnectionIsAwaited) {
  boost::asio::steady_timer work(this->loop);
  ScriptedUpstream upstream(this->loop, [&](ScriptedConnection& connection) {
    if (connection.request_count == 1)
      return kCompleteResponse;
    work.expires_after(4 * this->pool.limits.silence_timeout);
    work.async_wait([&connection](const auto&) {
      boost::asio::write(connection.socket,
                         boost::asio::buffer(kCompleteResponse));
    });
    return std::string();
  });
  this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  const ExchangeOutcome second =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(second.end.is_connection_reused);
  BOOST_TEST((second.end.progress == Progress::kComplete),
             second.end.error.message());
  BOOST_TEST(second.body == "hello");
}

// Guards against taking a deadline that passes while an upstream works for a
// silent connection, which would close the pooled connections to the upstream.
BOOST_AUTO_TEST_CASE(DeadlineOnReusedConnectionIsNoSilence) {
  ScriptedUpstream upstream(this->loop, [](ScriptedConnection& connection) {
    return connection.request_count == 1 ? kCompleteResponse : std::string();
  });
  this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  const ExchangeOutcome second = this->RunExchange(
      upstream.GetAddress(), ConnectionReuse::kAllowed,
      boost::beast::http::verb::get, std::chrono::milliseconds(120));
  BOOST_TEST(second.end.is_connection_reused);
  BOOST_TEST((second.end.error == boost::asio::error::timed_out));
  BOOST_TEST(!second.end.is_silent);
}

// Guards against reporting a slow response on a new connection as a silent
// connection.
BOOST_AUTO_TEST_CASE(SlowResponseOnNewConnectionIsATimeout) {
  ScriptedUpstream upstream(this->loop,
                            [](ScriptedConnection&) { return std::string(); });
  const ExchangeOutcome outcome = this->RunExchange(
      upstream.GetAddress(), ConnectionReuse::kAllowed,
      boost::beast::http::verb::get, std::chrono::milliseconds(120));
  BOOST_TEST(!outcome.end.is_silent);
  BOOST_TEST((outcome.end.error == boost::asio::error::timed_out));
  BOOST_TEST((outcome.end.progress == Progress::kMaybeSent));
}

// Guards against bytes after one response that are taken for the start of the
// response to the next request, which would then get the wrong response.
BOOST_AUTO_TEST_CASE(ConnectionWithExtraBytesIsNotReused) {
  ScriptedUpstream upstream(this->loop, [](ScriptedConnection&) {
    return kCompleteResponse +
           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  });
  this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  const ExchangeOutcome second =
      this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(!second.end.is_connection_reused);
  BOOST_TEST(second.body == "hello");
}

// Guards against too many idle connections of requests that always open a new
// connection. In a run with injected faults, they exceeded the number of
// connections that the upstreams accept.
BOOST_AUTO_TEST_CASE(NewConnectionsStayWithinTheLimit) {
  ScriptedUpstream upstream(
      this->loop, [](ScriptedConnection&) { return kCompleteResponse; });
  constexpr std::uint32_t kMaxOpenConnections = 3;
  this->pool.address_pools[upstream.GetAddress()].max_open_connections =
      kMaxOpenConnections;
  for (int i = 0; i < 10; ++i) {
    this->RunExchange(upstream.GetAddress(), ConnectionReuse::kForbidden);
    BOOST_TEST(CountOpenConnections(this->pool, upstream.GetAddress()) <=
               kMaxOpenConnections);
  }
  BOOST_TEST(upstream.connection_count == 10);
}

// Guards against idle connections that are kept beyond their idle timeout.
BOOST_AUTO_TEST_CASE(IdleConnectionsExpire) {
  ScriptedUpstream upstream(
      this->loop, [](ScriptedConnection&) { return kCompleteResponse; });
  this->RunExchange(upstream.GetAddress(), ConnectionReuse::kAllowed);
  BOOST_TEST(CountOpenConnections(this->pool, upstream.GetAddress()) == 1);
  CloseExpiredConnections(this->pool,
                          clock::Now() + this->pool.limits.idle_timeout);
  BOOST_TEST(CountOpenConnections(this->pool, upstream.GetAddress()) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::upstream
