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
struct RawConnection {
  boost::asio::ip::tcp::socket socket;
  std::string input;
  unsigned requests = 0;
};

// An upstream that responds to the header of each request with scripted bytes,
// and counts requests and connections. It does not parse HTTP; a request ends
// at the first blank line.
class RawUpstream {
 public:
  // Called for each request. Returns the bytes to send back; nothing is sent if
  // they are empty. The script may close `connection.socket`.
  using Script = std::function<std::string(RawConnection& connection)>;

  RawUpstream(boost::asio::io_context& loop, Script script)
      : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        script(std::move(script)) {
    this->Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  unsigned requests = 0;
  unsigned connections = 0;

 private:
  void Accept() {
    this->acceptor.async_accept([this](const auto& error, auto socket) {
      if (error)
        return;
      ++this->connections;
      this->Read(std::make_shared<RawConnection>(
          RawConnection{std::move(socket), {}, 0}));
      this->Accept();
    });
  }

  void Read(const std::shared_ptr<RawConnection>& connection) {
    boost::asio::async_read_until(
        connection->socket, boost::asio::dynamic_buffer(connection->input),
        "\r\n\r\n", [this, connection](const auto& error, std::size_t size) {
          if (error)
            return;
          connection->input.erase(0, size);
          ++connection->requests;
          ++this->requests;
          this->Answer(connection);
        });
  }

  void Answer(const std::shared_ptr<RawConnection>& connection) {
    auto bytes = std::make_shared<std::string>(this->script(*connection));
    if (!connection->socket.is_open())
      return;
    boost::asio::async_write(
        connection->socket, boost::asio::buffer(*bytes),
        [this, connection, bytes](const auto& error, std::size_t) {
          if (!error)
            this->Read(connection);
        });
  }

  boost::asio::ip::tcp::acceptor acceptor;
  Script script;
};

}  // namespace poplarfork::support
