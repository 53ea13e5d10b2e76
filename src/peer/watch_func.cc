#include "peer/watch_func.h"

#include <memory>
#include <utility>

#include <boost/system/error_code.hpp>

namespace poplarfork::peer {

void WatchSocket(Transport& transport,
                 WatchedSocket& socket,
                 SocketEventHandler handler) {
  std::weak_ptr<Transport> weak_transport = transport.weak_from_this();
  std::weak_ptr<bool> socket_alive = socket.alive;
  WatchedSocket* raw_socket = &socket;
  socket.descriptor.async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [weak_transport, socket_alive, raw_socket,
       event_handler =
           std::move(handler)](const boost::system::error_code& error) {
        const std::shared_ptr<Transport> locked_transport =
            weak_transport.lock();
        if (error || !locked_transport || socket_alive.expired())
          return;
        event_handler(*locked_transport);
        if (socket_alive.expired())
          return;
        WatchSocket(*locked_transport, *raw_socket, event_handler);
      });
}

}  // namespace poplarfork::peer
