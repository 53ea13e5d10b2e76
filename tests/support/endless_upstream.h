#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

namespace poplarfork::support {

// An upstream that responds to each request with `prefix` and then with `piece`
// again and again until the caller closes the connection.
class EndlessUpstream {
 public:
  EndlessUpstream(boost::asio::io_context& loop,
                  std::string prefix,
                  const std::string& piece)
      : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        prefix(std::move(prefix)) {
    constexpr std::size_t kMinWriteBytes = 4096;
    while (this->pieces.size() < kMinWriteBytes)
      this->pieces += piece;
    this->AcceptNext();
  }

  std::string GetAddress() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  std::size_t sent_bytes = 0;
  int closed_connections = 0;

 private:
  struct Peer {
    boost::asio::ip::tcp::socket socket;
    std::string input;
  };

  void AcceptNext() {
    this->acceptor.async_accept([this](const auto& error, auto socket) {
      if (error)
        return;
      auto peer = std::make_shared<Peer>(Peer{std::move(socket), {}});
      boost::asio::async_read_until(
          peer->socket, boost::asio::dynamic_buffer(peer->input), "\r\n\r\n",
          [this, peer](const auto& read_error, std::size_t) {
            if (!read_error)
              this->Write(peer, this->prefix);
          });
      this->AcceptNext();
    });
  }

  void Write(const std::shared_ptr<Peer>& peer, const std::string& bytes) {
    boost::asio::async_write(peer->socket, boost::asio::buffer(bytes),
                             [this, peer](const auto& error, std::size_t size) {
                               this->sent_bytes += size;
                               if (error)
                                 ++this->closed_connections;
                               else
                                 this->Write(peer, this->pieces);
                             });
  }

  boost::asio::ip::tcp::acceptor acceptor;
  std::string prefix;
  std::string pieces;
};

}  // namespace poplarfork::support
