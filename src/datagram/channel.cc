#include "datagram/channel.h"

#include <cstdlib>
#include <utility>

#include "base/error_func.h"
#include "clock/now_func.h"
#include "datagram/codec_func.h"

namespace poplarfork::datagram {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Maximum number of datagrams that are read at a time, so that a flood of
// datagrams does not delay requests.
constexpr int kMaxDatagramsPerWakeUp = 64;

// Maximum size of the caches of peer addresses. A full cache is cleared and
// filled again.
constexpr std::size_t kMaxCachedPeers = 16384;

bool ParseEndpoint(const std::string& address, asio::ip::udp::endpoint& out) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const int port = std::atoi(address.c_str() + colon + 1);
  out = {ip, static_cast<unsigned short>(port)};
  return !error;
}

}  // namespace

Channel::Channel(asio::io_context& loop, Handler handler)
    : socket(loop), handler(std::move(handler)) {}

base::Result<std::string> Channel::Open(const std::string& address) {
  asio::ip::udp::endpoint endpoint;
  if (!ParseEndpoint(address, endpoint))
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kPeerSend,
                           address, "the address must have the form IP:port");
  error_code error;
  this->socket.open(endpoint.protocol(), error);
  if (!error)
    this->socket.bind(endpoint, error);
  if (!error)
    this->socket.non_blocking(true, error);
  if (error)
    return base::Error{std::error_code(error.value(), std::system_category()),
                       base::Step::kPeerSend, address, error.message()};
  this->WaitForDatagrams();
  const auto bound = this->socket.local_endpoint();
  return bound.address().to_string() + ":" + std::to_string(bound.port());
}

const asio::ip::udp::endpoint* Channel::FindEndpoint(const base::DaemonId& id) {
  const auto found = this->endpoints_by_id.find(id);
  if (found != this->endpoints_by_id.end())
    return &found->second;
  asio::ip::udp::endpoint endpoint;
  if (!ParseEndpoint(id.value, endpoint))
    return nullptr;
  if (this->endpoints_by_id.size() >= kMaxCachedPeers)
    this->endpoints_by_id.clear();
  return &this->endpoints_by_id.emplace(id, endpoint).first->second;
}

const base::DaemonId& Channel::FindDaemonId(
    const asio::ip::udp::endpoint& endpoint) {
  const std::uint64_t key =
      (static_cast<std::uint64_t>(endpoint.address().to_v4().to_uint()) << 16) |
      endpoint.port();
  const auto found = this->ids_by_endpoint.find(key);
  if (found != this->ids_by_endpoint.end())
    return found->second;
  if (this->ids_by_endpoint.size() >= kMaxCachedPeers)
    this->ids_by_endpoint.clear();
  return this->ids_by_endpoint
      .emplace(key, base::DaemonId{endpoint.address().to_string() + ":" +
                                   std::to_string(endpoint.port())})
      .first->second;
}

void Channel::Send(const base::DaemonId& to, const Message& message) {
  const asio::ip::udp::endpoint* endpoint = this->FindEndpoint(to);
  if (!endpoint) {
    ++this->counts.send_errors;
    return;
  }
  Encode(message, clock::Now(), this->send_buffer);
  error_code error;
  this->socket.send_to(asio::buffer(this->send_buffer), *endpoint, 0, error);
  ++(error ? this->counts.send_errors : this->counts.sent);
}

void Channel::WaitForDatagrams() {
  this->socket.async_wait(asio::ip::udp::socket::wait_read,
                          [this](const error_code& error) {
                            if (error)
                              return;
                            this->ReadDatagrams();
                            if (this->socket.is_open())
                              this->WaitForDatagrams();
                          });
}

void Channel::ReadDatagrams() {
  for (int i = 0; i < kMaxDatagramsPerWakeUp && this->socket.is_open(); ++i) {
    asio::ip::udp::endpoint sender;
    error_code error;
    const std::size_t size = this->socket.receive_from(
        asio::buffer(this->receive_buffer), sender, 0, error);
    if (error)
      return;
    ++this->counts.received;
    const auto message = Decode(
        std::string_view(this->receive_buffer.data(), size), clock::Now());
    if (!message) {
      ++this->counts.malformed;
      continue;
    }
    const base::DaemonId from = this->FindDaemonId(sender);
    this->handler(from, message.value());
  }
}

void Channel::Close() {
  error_code ignored;
  this->socket.close(ignored);
}

const ChannelCounts& Channel::Counts() const {
  return this->counts;
}

}  // namespace poplarfork::datagram
