#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarfork::support {

// An accepted connection of a ScriptedUpstream.
struct ScriptedConnection {
  boost::asio::ip::tcp::socket socket;
  std::string unread_input;
  unsigned request_count = 0;
};

// An upstream that responds to the header of each request with scripted bytes,
// and counts requests and connections. It does not parse HTTP; a request ends
// at the first blank line.
class ScriptedUpstream {
 public:
  // Called for each request. Returns the bytes to send back; nothing is sent if
  // they are empty. The script may close `connection.socket`.
  using ResponseScript =
      std::function<std::string(ScriptedConnection& connection)>;

  ScriptedUpstream(boost::asio::io_context& loop, ResponseScript script)
      : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        script(std::move(script)) {
    this->AcceptNext();
  }

  std::string GetAddress() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  unsigned request_count = 0;
  unsigned connection_count = 0;

 private:
  void AcceptNext() {
    this->acceptor.async_accept([this](const auto& error, auto socket) {
      if (error)
        return;
      ++this->connection_count;
      this->ReadRequest(std::make_shared<ScriptedConnection>(
          ScriptedConnection{std::move(socket), {}, 0}));
      this->AcceptNext();
    });
  }

  void ReadRequest(const std::shared_ptr<ScriptedConnection>& connection) {
    boost::asio::async_read_until(
        connection->socket,
        boost::asio::dynamic_buffer(connection->unread_input), "\r\n\r\n",
        [this, connection](const auto& error, std::size_t size) {
          if (error)
            return;
          connection->unread_input.erase(0, size);
          ++connection->request_count;
          ++this->request_count;
          this->SendResponse(connection);
        });
  }

  void SendResponse(const std::shared_ptr<ScriptedConnection>& connection) {
    auto bytes = std::make_shared<std::string>(this->script(*connection));
    if (!connection->socket.is_open())
      return;
    boost::asio::async_write(
        connection->socket, boost::asio::buffer(*bytes),
        [this, connection, bytes](const auto& error, std::size_t) {
          if (!error)
            this->ReadRequest(connection);
        });
  }

  boost::asio::ip::tcp::acceptor acceptor;
  ResponseScript script;
};

}  // namespace poplarfork::support
