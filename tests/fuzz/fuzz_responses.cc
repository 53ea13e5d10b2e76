#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include "upstream/whole_call.h"

// libFuzzer target for the response parser of src/upstream. Each input is what
// an upstream sends in response to a request before it closes the connection.

namespace poplarfork::upstream {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kMaxBodyBytes = 4096;

// An exchange ends with the input, so this limit is reached only by a fault.
constexpr base::Duration kCallTimeout = std::chrono::seconds(30);

void Require(bool condition, const char* expectation) {
  if (condition)
    return;
  std::fprintf(stderr, "not as expected: %s\n", expectation);
  std::abort();
}

// Upstream on the loopback interface that sends the current input to each
// caller.
class InputUpstream {
 public:
  InputUpstream()
      : acceptor(this->loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->AcceptNext();
  }

  std::string GetAddress() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  asio::io_context loop;
  std::string input;

 private:
  void AcceptNext() {
    this->acceptor.async_accept(
        [this](const error_code& error, asio::ip::tcp::socket socket) {
          if (error)
            return;
          this->SendInput(
              std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
          this->AcceptNext();
        });
  }

  void SendInput(const std::shared_ptr<asio::ip::tcp::socket>& socket) {
    auto request = std::make_shared<std::string>();
    asio::async_read_until(
        *socket, asio::dynamic_buffer(*request), "\r\n\r\n",
        [this, socket, request](const error_code& error, std::size_t) {
          if (error)
            return;
          auto bytes = std::make_shared<std::string>(this->input);
          asio::async_write(
              *socket, asio::buffer(*bytes),
              [socket, bytes](const error_code&, std::size_t) {
                error_code ignored;
                socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
              });
        });
  }

  asio::ip::tcp::acceptor acceptor;
};

void CheckResponse(const BufferedResponse& response) {
  Require(response.end.error != asio::error::timed_out,
          "the exchange ends with the input");
  Require(response.body.size() <= kMaxBodyBytes, "the body is limited");
  if (!response.IsComplete())
    return;
  const unsigned status = response.header.result_int();
  Require(status >= 200 && status <= 599, "the status is that of a response");
  Require(response.header.version() == 10 || response.header.version() == 11,
          "the version is HTTP/1.0 or HTTP/1.1");
  Require(!response.end.is_malformed, "a complete response is well-formed");
}

}  // namespace

void RunInput(std::string input) {
  static InputUpstream upstream;
  Pool pool;
  upstream.input = std::move(input);
  CallOptions options;
  options.address = upstream.GetAddress();
  options.timeout = kCallTimeout;
  options.max_body_bytes = kMaxBodyBytes;
  auto request =
      std::make_shared<HttpRequest>(boost::beast::http::verb::get, "/", 11);
  request->set(boost::beast::http::field::host, "fuzz.example");
  bool is_done = false;
  StartCall(upstream.loop, pool, options, std::move(request),
            [&](const BufferedResponse& response) {
              CheckResponse(response);
              is_done = true;
            });
  upstream.loop.restart();
  while (!is_done)
    upstream.loop.run_one();
  // Handlers of the closed connection still refer to the pool.
  upstream.loop.poll();
  Require(pool.buffered_bytes == 0, "no bytes stay counted as buffered");
}

}  // namespace poplarfork::upstream

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  poplarfork::upstream::RunInput(
      std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}
