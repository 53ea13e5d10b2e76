#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "peer/transport_builder_type.h"
#include "peer/transport_func.h"

namespace poplarfork::peer {

namespace {

using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

// Time after which a test stops waiting and fails. No test checks how long
// something takes.
constexpr std::chrono::seconds kTestTimeout{30};

// Copies bytes from one socket to another. Once `is_silent` is set, it reads
// and discards them.
struct OneWayPipe : std::enable_shared_from_this<OneWayPipe> {
  OneWayPipe(std::shared_ptr<Tcp::socket> source,
             std::shared_ptr<Tcp::socket> sink)
      : source(std::move(source)), sink(std::move(sink)) {}

  std::shared_ptr<Tcp::socket> source;
  std::shared_ptr<Tcp::socket> sink;
  bool is_silent = false;
  std::array<char, 4096> buffer = {};
};

void CopyBytes(const std::shared_ptr<OneWayPipe>& pipe) {
  pipe->source->async_read_some(
      boost::asio::buffer(pipe->buffer),
      [pipe](const error_code& error, std::size_t size) {
        error_code write_error;
        if (error) {
          pipe->sink->close(write_error);
          return;
        }
        if (!pipe->is_silent)
          boost::asio::write(*pipe->sink,
                             boost::asio::buffer(pipe->buffer.data(), size),
                             write_error);
        CopyBytes(pipe);
      });
}

// Simulates a network device that loses its connection state: existing
// connections go silent, new connections work.
struct NetworkDevice {
  NetworkDevice(boost::asio::io_context& loop, const base::DaemonId& peer)
      : loop(loop),
        acceptor(loop,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        target_endpoint(boost::asio::ip::address_v4::loopback(),
                        static_cast<std::uint16_t>(std::stoi(
                            peer.value.substr(peer.value.rfind(':') + 1)))) {}

  boost::asio::io_context& loop;
  Tcp::acceptor acceptor;
  Tcp::endpoint target_endpoint;
  std::vector<std::shared_ptr<OneWayPipe>> pipes;
};

// Forwards each connection to the device to the target in both directions.
void AcceptNext(NetworkDevice& device) {
  auto near_socket = std::make_shared<Tcp::socket>(device.loop);
  device.acceptor.async_accept(
      *near_socket, [&device, near_socket](const error_code& error) {
        if (error)
          return;
        auto far_socket = std::make_shared<Tcp::socket>(device.loop);
        far_socket->connect(device.target_endpoint);
        for (const auto& pipe :
             {std::make_shared<OneWayPipe>(near_socket, far_socket),
              std::make_shared<OneWayPipe>(far_socket, near_socket)}) {
          device.pipes.push_back(pipe);
          CopyBytes(pipe);
        }
        AcceptNext(device);
      });
}

std::shared_ptr<Transport> OpenTransport(boost::asio::io_context& loop,
                                         const std::string& address,
                                         int& received) {
  auto built =
      TransportBuilder(loop)
          .SetAddress(address)
          .SetMessageHandler([&received](const Message&) { ++received; })
          .Build();
  BOOST_REQUIRE(built.has_value());
  return built.value();
}

// Sends a message every 50 ms until `count` more messages have arrived. Returns
// false after `kTestTimeout`.
bool SendUntilReceived(boost::asio::io_context& loop,
                       Transport& sender,
                       const base::DaemonId& recipient,
                       const int& received,
                       int count) {
  const int expected_total = received + count;
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (received < expected_total && std::chrono::steady_clock::now() < end) {
    (void)Send(sender, recipient, proto::PROBE, "x");
    loop.run_for(std::chrono::milliseconds(50));
    loop.restart();
  }
  return received >= expected_total;
}

}  // namespace

// Guards against a connection that stays silent forever after a network device
// between the daemons has lost its connection state. The heartbeat must close
// it, so that a new connection is opened.
BOOST_AUTO_TEST_CASE(SilentConnectionIsReplaced) {
  boost::asio::io_context loop;
  int received = 0;
  int ignored = 0;
  const auto left = OpenTransport(loop, "127.0.0.1:0", ignored);
  const auto right = OpenTransport(loop, "127.0.0.1:0", received);
  NetworkDevice device(loop, right->self);
  AcceptNext(device);
  const base::DaemonId device_address{
      "127.0.0.1:" + std::to_string(device.acceptor.local_endpoint().port())};
  BOOST_REQUIRE(SendUntilReceived(loop, *left, device_address, received, 5));
  for (const std::shared_ptr<OneWayPipe>& pipe : device.pipes)
    pipe->is_silent = true;
  const std::size_t pipe_count = device.pipes.size();
  BOOST_TEST(SendUntilReceived(loop, *left, device_address, received, 5));
  BOOST_TEST(device.pipes.size() > pipe_count);
  CloseTransport(*left);
  CloseTransport(*right);
}

// Guards against a peer that is not reached again after it restarted at the
// same address, and against messages to the old process that arrive late at the
// new one.
BOOST_AUTO_TEST_CASE(RestartedPeerIsReachedAgain) {
  boost::asio::io_context loop;
  int received = 0;
  int ignored = 0;
  const auto left = OpenTransport(loop, "127.0.0.1:0", ignored);
  auto right = OpenTransport(loop, "127.0.0.1:0", received);
  const base::DaemonId peer = right->self;
  BOOST_REQUIRE(SendUntilReceived(loop, *left, peer, received, 5));
  CloseTransport(*right);
  right.reset();
  for (int i = 0; i < 300; ++i) {
    (void)Send(*left, peer, proto::PROBE, "to the old run");
    loop.poll();
  }
  received = 0;
  right = OpenTransport(loop, peer.value, received);
  BOOST_TEST(SendUntilReceived(loop, *left, peer, received, 1));
  BOOST_TEST(received <= static_cast<int>(kMaxPendingMessages) + 2);
}

}  // namespace poplarfork::peer
