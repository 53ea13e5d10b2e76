#include "edge/peer_close_func.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace poplarfork::edge {

bool HasPeerClosed(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                   &size) != 0)
    return false;
  return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

}  // namespace poplarfork::edge
