#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "clock/now_func.h"
#include "tests/support/raw_upstream.h"
#include "upstream/exchange.h"
#include "upstream/pool_func.h"

namespace poplarfork::upstream {

namespace {

using support::RawConnection;
using support::RawUpstream;

const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

// The response and the end of one exchange.
struct Outcome {
  bool done = false;
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
struct Fixture {
  boost::asio::io_context loop;
  Pool pool;

  Fixture() {
    this->pool.limits.silence_timeout = std::chrono::milliseconds(50);
  }

  // Runs one exchange to its end.
  Outcome Run(const std::string& address,
              Reuse reuse,
              boost::beast::http::verb method = boost::beast::http::verb::post,
              base::Duration timeout = std::chrono::seconds(20)) {
    Outcome outcome;
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
      outcome.done = true;
    };
    exchange = std::make_shared<Exchange>(this->loop, this->pool, handlers);
    exchange->Start(address, MakeRequest(method), reuse, timeout);
    while (!outcome.done)
      this->loop.run_one();
    return outcome;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ExchangeSuite, Fixture)

// Guards against sending a POST again if the upstream closes a pooled
// connection before it sends the status line. The HTTP client of cpprestsdk
// does so silently.
BOOST_AUTO_TEST_CASE(PostIsSentOnceWhenReusedConnectionCloses) {
  RawUpstream upstream(this->loop, [](RawConnection& connection) {
    if (connection.requests == 1)
      return kWhole;
    connection.socket.close();
    return std::string();
  });
  const Outcome first = this->Run(upstream.Address(), Reuse::kAllowed);
  BOOST_TEST(first.body == "hello", first.end.error.message());
  const Outcome second = this->Run(upstream.Address(), Reuse::kAllowed);
  BOOST_TEST(upstream.requests == 2);
  BOOST_TEST(second.end.reused);
  BOOST_TEST((second.end.progress == Progress::kMaybeSent));
}

// Guards against a request that is not repeatable on a connection that has
// served another request.
BOOST_AUTO_TEST_CASE(NewConnectionIsUsedWhenReuseIsForbidden) {
  RawUpstream upstream(this->loop, [](RawConnection&) { return kWhole; });
  this->Run(upstream.Address(), Reuse::kAllowed);
  const Outcome second = this->Run(upstream.Address(), Reuse::kNewConnection);
  BOOST_TEST(!second.end.reused);
  BOOST_TEST(upstream.connections == 2);
}

// Guards against taking a truncated body for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedBodyIsNotComplete) {
  RawUpstream upstream(this->loop, [](RawConnection& connection) {
    boost::asio::write(
        connection.socket,
        boost::asio::buffer(
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")));
    connection.socket.close();
    return std::string();
  });
  const Outcome outcome = this->Run(upstream.Address(), Reuse::kAllowed);
  BOOST_TEST(outcome.status == 200);
  BOOST_TEST((outcome.end.progress == Progress::kHeaderReceived));
  BOOST_TEST(!!outcome.end.error);
}

// Guards against a failed connect that is reported as a request that may have
// been sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionSendsNothing) {
  std::string address;
  {
    RawUpstream upstream(this->loop, [](RawConnection&) { return kWhole; });
    address = upstream.Address();
  }
  const Outcome outcome = this->Run(address, Reuse::kAllowed);
  BOOST_TEST((outcome.end.progress == Progress::kNotConnected));
}

// Guards against blaming an upstream for a connection that went silent. The
// reused connection must be reported as silent, and the other pooled
// connections must not be used again.
BOOST_AUTO_TEST_CASE(SilentReusedConnectionIsReplaced) {
  RawUpstream upstream(this->loop, [](RawConnection& connection) {
    return connection.requests == 1 ? kWhole : std::string();
  });
  this->Run(upstream.Address(), Reuse::kAllowed);
  const Outcome silent = this->Run(upstream.Address(), Reuse::kAllowed);
  BOOST_TEST(silent.end.silent);
  const Outcome after = this->Run(upstream.Address(), Reuse::kAllowed);
  BOOST_TEST(!after.end.reused);
  BOOST_TEST(after.body == "hello");
}

// Guards against reporting a slow response on a new connection as a silent
// connection.
BOOST_AUTO_TEST_CASE(SlowResponseOnNewConnectionIsATimeout) {
  RawUpstream upstream(this->loop,
                       [](RawConnection&) { return std::string(); });
  const Outcome outcome =
      this->Run(upstream.Address(), Reuse::kAllowed,
                boost::beast::http::verb::get, std::chrono::milliseconds(120));
  BOOST_TEST(!outcome.end.silent);
  BOOST_TEST((outcome.end.error == boost::asio::error::timed_out));
  BOOST_TEST((outcome.end.progress == Progress::kMaybeSent));
}

// Guards against bytes after one response that are taken for the start of the
// response to the next request, which would then get the wrong response.
BOOST_AUTO_TEST_CASE(ConnectionWithExtraBytesIsNotReused) {
  RawUpstream upstream(this->loop, [](RawConnection&) {
    return kWhole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  });
  this->Run(upstream.Address(), Reuse::kAllowed);
  const Outcome second = this->Run(upstream.Address(), Reuse::kAllowed);
  BOOST_TEST(!second.end.reused);
  BOOST_TEST(second.body == "hello");
}

// Guards against idle connections of requests that always open a new
// connection. In a fault run, they exceeded the number of connections that the
// upstreams accept.
BOOST_AUTO_TEST_CASE(NewConnectionsStayWithinTheLimit) {
  RawUpstream upstream(this->loop, [](RawConnection&) { return kWhole; });
  constexpr std::uint32_t kShare = 3;
  this->pool.addresses[upstream.Address()].max_open = kShare;
  for (int i = 0; i < 10; ++i) {
    this->Run(upstream.Address(), Reuse::kNewConnection);
    BOOST_TEST(OpenConnections(this->pool, upstream.Address()) <= kShare);
  }
  BOOST_TEST(upstream.connections == 10);
}

// Guards against idle connections that are kept beyond their idle timeout.
BOOST_AUTO_TEST_CASE(IdleConnectionsExpire) {
  RawUpstream upstream(this->loop, [](RawConnection&) { return kWhole; });
  this->Run(upstream.Address(), Reuse::kAllowed);
  BOOST_TEST(OpenConnections(this->pool, upstream.Address()) == 1);
  CloseExpired(this->pool, clock::Now() + this->pool.limits.idle_timeout);
  BOOST_TEST(OpenConnections(this->pool, upstream.Address()) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::upstream
