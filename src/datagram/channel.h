#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "base/result_type.h"
#include "datagram/message_type.h"

namespace poplarfork::datagram {

// Number of datagrams that a channel has sent, received and dropped. Dropped
// datagrams are counted by reason.
struct ChannelCounts {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t malformed = 0;
  std::uint64_t send_errors = 0;
};

// Exchanges messages with the other daemons as UDP datagrams. The channel keeps
// no connections, so no connection can become unresponsive without notice. It
// queues nothing: datagrams that the socket does not accept are dropped and
// counted.
class Channel {
 public:
  using Handler = std::function<void(const base::DaemonId&, const Message&)>;

  Channel(boost::asio::io_context& loop, Handler handler);

  // Binds the socket to `address` ("IP:port") and starts to receive. Returns
  // the address to which it is bound.
  base::Result<std::string> Open(const std::string& address);

  // Sends a message to one daemon. If that fails, the message is dropped and
  // only counted.
  void Send(const base::DaemonId& to, const Message& message);

  void Close();

  const ChannelCounts& Counts() const;

 private:
  static constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

  void WaitForDatagrams();
  void ReadDatagrams();
  const boost::asio::ip::udp::endpoint* FindEndpoint(const base::DaemonId& id);
  const base::DaemonId& FindDaemonId(
      const boost::asio::ip::udp::endpoint& endpoint);

  boost::asio::ip::udp::socket socket;
  Handler handler;
  ChannelCounts counts;
  std::string send_buffer;
  std::array<char, kMaxDatagramBytes> receive_buffer;
  std::unordered_map<base::DaemonId, boost::asio::ip::udp::endpoint>
      endpoints_by_id;
  std::unordered_map<std::uint64_t, base::DaemonId> ids_by_endpoint;
};

}  // namespace poplarfork::datagram
