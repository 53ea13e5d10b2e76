#pragma once

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/server.h"

namespace poplarfork::edge {

// A server with pipelining and a caller with one connection. The test responds
// to each request by its target. Targets that start with "/order" may not
// overlap.
struct PipeliningFixture {
  boost::asio::io_context loop;
  std::shared_ptr<Server> server;
  boost::asio::ip::tcp::socket socket{loop};
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
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))});
    this->socket.non_blocking(true);
  }

  ~PipeliningFixture() {
    this->running.clear();
    this->server->Stop();
    this->Run();
  }

  void Send(const std::string& bytes) {
    boost::asio::write(this->socket, boost::asio::buffer(bytes));
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
          this->socket.read_some(boost::asio::buffer(part), error);
      this->received.append(part, size);
      this->is_closed = this->is_closed ||
                        (error && error != boost::asio::error::would_block);
    }
  }

  // Responds with the target and `size` further bytes as the body.
  void Respond(const std::string& target,
               bool closes = false,
               std::size_t size = 0) {
    HttpResponse response(boost::beast::http::status::ok, 11);
    response.body() = "[" + target + "]" + std::string(size, 'x');
    if (closes)
      response.set(boost::beast::http::field::connection, "close");
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

inline std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

inline std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

using Targets = std::vector<std::string>;

}  // namespace poplarfork::edge
