#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

namespace poplarfork::support {

// Makes the kernel drop all segments that arrive for `socket` from now on,
// without an acknowledgement, as if a device on the path had lost the state of
// the connection. Other connections are not affected.
inline void DropReceivedSegments(boost::asio::ip::tcp::socket& socket) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop_all};
  BOOST_REQUIRE(::setsockopt(socket.native_handle(), SOL_SOCKET,
                             SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
}

}  // namespace poplarfork::support
