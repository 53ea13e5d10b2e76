#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

namespace poplarfork::peer {

// A ZeroMQ socket whose file descriptor is watched on an io_context. The
// descriptor belongs to ZeroMQ, so it is released before the socket closes.
struct WatchedSocket {
  WatchedSocket(zmq::context_t& context,
                zmq::socket_type type,
                boost::asio::io_context& loop)
      : socket(context, type),
        descriptor(loop, this->socket.get(zmq::sockopt::fd)) {}
  WatchedSocket(const WatchedSocket&) = delete;
  WatchedSocket& operator=(const WatchedSocket&) = delete;
  ~WatchedSocket() { this->descriptor.release(); }

  zmq::socket_t socket;
  boost::asio::posix::stream_descriptor descriptor;
  // Expires when the socket is destroyed. Handlers that are already queued then
  // find that they must not use the socket.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace poplarfork::peer
