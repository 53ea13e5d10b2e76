#pragma once

#include <chrono>
#include <string>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace poplarfork::standin {

// How waiting for a response ended: with a response, with the end of the
// connection, or with a timeout.
enum class ReceiveOutcome { kResponse, kClosed, kTimeout };

// What a client received: the outcome, and the response if there was one.
struct RawResponse {
  ReceiveOutcome outcome = ReceiveOutcome::kTimeout;
  unsigned status = 0;
  std::string body;
  boost::beast::http::fields fields;

  std::string HeaderValue(const std::string& name) const {
    const auto value = this->fields[name];
    return {value.data(), value.size()};
  }
};

// A client with one connection. It runs in the test's thread, on a loop of its
// own, not on the server's.
struct RawClient {
  explicit RawClient(const boost::asio::ip::tcp::endpoint& endpoint)
      : socket(loop) {
    this->socket.connect(endpoint, this->connect_error);
  }

  void Send(const std::string& method,
            const std::string& target,
            const std::string& headers,
            const std::string& body = "") {
    const std::string text =
        method + " " + target + " HTTP/1.1\r\nHost: test\r\n" + headers +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(text), ignored);
  }

  // Waits up to `timeout` for a complete response or the end of the connection.
  RawResponse Receive(std::chrono::milliseconds timeout) {
    namespace http = boost::beast::http;
    RawResponse response;
    http::response_parser<http::string_body> parser;
    http::async_read(this->socket, this->buffer, parser,
                     [&](boost::system::error_code error, std::size_t) {
                       response.outcome = error ? ReceiveOutcome::kClosed
                                                : ReceiveOutcome::kResponse;
                     });
    this->loop.restart();
    this->loop.run_for(timeout);
    if (response.outcome == ReceiveOutcome::kTimeout) {
      this->socket.cancel();
      this->loop.run();
      response.outcome = ReceiveOutcome::kTimeout;
    }
    response.status = parser.get().result_int();
    response.body = parser.get().body();
    response.fields = parser.get().base();
    return response;
  }

  RawResponse Exchange(const std::string& method,
                       const std::string& target,
                       const std::string& headers = "",
                       const std::string& body = "") {
    this->Send(method, target, headers, body);
    return this->Receive(std::chrono::seconds(20));
  }

  boost::asio::io_context loop{1};
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  boost::system::error_code connect_error;
};

}  // namespace poplarfork::standin
